package milletyoke.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests that cross the closing of a shutdown and end without a response or reset.
 * More seeds: {@code -Dheld.seeds=1-20}.
 */
@Timeout(600)
class HeldShutdownTest {
    private static final String SEEDS = System.getProperty("held.seeds", "1-12");
    private static final long DEADLINE_MILLIS = 400;

    /** When a process with this deadline stops admitting requests and closes, after SIGTERM. */
    private static final long CLOSING_MILLIS = 550;

    private static final int CONNECTION_COUNT = 300;
    private static final int IN_PIECES_ONE_IN = 8;
    private static final int MIN_HOLD_MILLIS = 20;
    private static final int MAX_HOLD_MILLIS = 150;
    private static final int MAX_LEAD_MILLIS = 80;
    private static final int BEFORE_CLOSING_MILLIS = 12;
    private static final int AFTER_CLOSING_MILLIS = 20;
    private static final int UNTIL_EXIT_MILLIS = 250;

    @TempDir Path folder;

    /** Bytes that one client sends at a time after SIGTERM. */
    private record TimedSend(long atMicros, KeptConnection connection, String bytes) {}

    /** When the process is held up, after SIGTERM. */
    private record Hold(long startMillis, long endMillis) {}

    @Test
    void everyRequestThatCrossesTheClosingIsAnsweredOrReset() throws Exception {
        assertAllAnsweredOrReset(AFTER_CLOSING_MILLIS);
    }

    /** The hold begins anywhere from before the closing to the exit. */
    @Test
    void everyRequestUntilTheExitIsAnsweredOrReset() throws Exception {
        assertAllAnsweredOrReset(UNTIL_EXIT_MILLIS);
    }

    /** Plays all seeds with requests and holds until some time after the closing has begun. */
    private void assertAllAnsweredOrReset(int untilMillis) throws Exception {
        String[] range = SEEDS.split("-", 2);
        List<String> failures = new ArrayList<>();
        for (long seed :
                LongStream.rangeClosed(
                                Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]))
                        .toArray()) {
            Map<KeptConnection.Outcome, Integer> outcomes = play(seed, untilMillis);
            String line = "seed=" + seed + " until=" + untilMillis + " " + outcomes;
            System.out.println(line);
            if (isLost(outcomes)) {
                failures.add(line);
            }
        }
        assertEquals(List.of(), failures);
    }

    private static boolean isLost(Map<KeptConnection.Outcome, Integer> outcomes) {
        return outcomes.containsKey(KeptConnection.Outcome.ENDED_WITHOUT_RESPONSE)
                || outcomes.containsKey(KeptConnection.Outcome.NO_END);
    }

    private Map<KeptConnection.Outcome, Integer> play(long seed, int untilMillis) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        Path seedFolder = Files.createDirectory(folder.resolve(untilMillis + "-seed-" + seed));
        List<KeptConnection> connections = new ArrayList<>();
        try (ServeProcess served = new ServeProcess(seedFolder, DEADLINE_MILLIS);
                SignalSender signals = new SignalSender()) {
            int port = served.awaitPort();
            served.awaitReady();
            for (int index = 0; index < CONNECTION_COUNT; index++) {
                KeptConnection connection = new KeptConnection(port);
                connection.send(KeptConnection.request("first" + index, DEADLINE_MILLIS));
                connections.add(connection);
            }
            for (KeptConnection connection : connections) {
                assertEquals(KeptConnection.Outcome.ANSWERED, connection.awaitOutcome());
            }
            long start = CLOSING_MILLIS + random.nextInt(-MAX_LEAD_MILLIS, untilMillis / 2);
            Hold hold =
                    new Hold(start, start + random.nextInt(MIN_HOLD_MILLIS, MAX_HOLD_MILLIS + 1));
            playShutdown(
                    served.process(), signals, hold, drawSends(random, connections, untilMillis));
            Map<KeptConnection.Outcome, Integer> outcomes =
                    new EnumMap<>(KeptConnection.Outcome.class);
            for (KeptConnection connection : connections) {
                outcomes.merge(connection.awaitOutcome(), 1, Integer::sum);
            }
            assertTrue(served.process().waitFor(10, TimeUnit.SECONDS), "the process ends");
            assertEquals(0, served.process().exitValue(), served.log());
            if (isLost(outcomes)) {
                System.out.println(served.log());
            }
            return outcomes;
        } finally {
            for (KeptConnection connection : connections) {
                connection.close();
            }
        }
    }

    private static List<TimedSend> drawSends(
            SplittableRandom random, List<KeptConnection> connections, int untilMillis) {
        List<TimedSend> sends = new ArrayList<>();
        long fromMicros = TimeUnit.MILLISECONDS.toMicros(CLOSING_MILLIS - BEFORE_CLOSING_MILLIS);
        long toMicros = TimeUnit.MILLISECONDS.toMicros(CLOSING_MILLIS + untilMillis);
        for (int index = 0; index < connections.size(); index++) {
            KeptConnection connection = connections.get(index);
            String request = KeptConnection.request("second" + index, DEADLINE_MILLIS);
            long atMicros = random.nextLong(fromMicros, toMicros);
            if (random.nextInt(IN_PIECES_ONE_IN) == 0) {
                int split = random.nextInt(1, request.length());
                sends.add(new TimedSend(fromMicros, connection, request.substring(0, split)));
                request = request.substring(split);
            }
            sends.add(new TimedSend(atMicros, connection, request));
        }
        sends.sort(Comparator.comparingLong(TimedSend::atMicros));
        return sends;
    }

    private static void playShutdown(
            Process process, SignalSender signals, Hold hold, List<TimedSend> sends)
            throws Exception {
        process.destroy();
        long terminatedAtNanos = System.nanoTime();
        Thread holder =
                new Thread(
                        () -> {
                            try {
                                sleepUntil(terminatedAtNanos, hold.startMillis() * 1_000);
                                signals.send("STOP", process);
                                sleepUntil(terminatedAtNanos, hold.endMillis() * 1_000);
                                signals.send("CONT", process);
                            } catch (Exception fault) {
                                throw new IllegalStateException(fault);
                            }
                        });
        holder.start();
        for (TimedSend send : sends) {
            sleepUntil(terminatedAtNanos, send.atMicros());
            send.connection().send(send.bytes());
        }
        holder.join();
    }

    private static void sleepUntil(long startNanos, long micros) throws InterruptedException {
        long left = startNanos + TimeUnit.MICROSECONDS.toNanos(micros) - System.nanoTime();
        while (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
            left = startNanos + TimeUnit.MICROSECONDS.toNanos(micros) - System.nanoTime();
        }
    }
}
