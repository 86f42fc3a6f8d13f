package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Some answers of targets are followed by a second copy, a few milliseconds later, and the initiator
 * is held up for 0.1 s about once a second. No client may get the answer to another request.
 */
public final class ForeignCase {
    private static final int TARGETS = 9;
    private static final int RATE = 300;
    private static final int SECONDS = 75;
    private static final String READ = "squad-read";

    /** One-shot: it must never run twice. */
    private static final String WRITE = "transfer-write";

    /** Share of the requests that a target turns away without running them: its queue is full. */
    private static final double FULL_SHARE = 0.1;

    /** Share of the good answers (200) that have a second copy behind them. */
    private static final double COPY_SHARE = 0.1;

    private static final int MIN_LATE_MICROS = 2_000;
    private static final int MAX_LATE_MICROS = 5_000;

    /** A copy that this machine would send later than that is not sent. */
    private static final int LATEST_MICROS = 6_000;

    private static final int HOLD_MILLIS = 100;
    private static final int MAX_HOLD_MICROS = 150_000;
    private static final int HOLD_INTERVAL_MICROS = 1_000_000;

    private final Run run;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger holds = new AtomicInteger();
    private final AtomicLong longestHoldMicros = new AtomicLong();
    private final AtomicLong nextHoldMicros = new AtomicLong(3_000_000);
    private Gateway gateway;

    private ForeignCase(Run run) {
        this.run = run;
    }

    public static void main(String[] args) throws Exception {
        int status = Run.COULD_NOT_RUN;
        try (Run run = new Run(Path.of(args[0]))) {
            status = new ForeignCase(run).play();
        } catch (Exception failed) {
            failed.printStackTrace();
        }
        Runtime.getRuntime().exit(status);
    }

    private int play() throws Exception {
        List<Target> targets = new ArrayList<>();
        for (int shard = 0; shard < TARGETS; shard++) {
            targets.add(new Target("s-" + shard, shard, this::answer));
        }
        try (Discovery discovery = new Discovery(targets);
                Gateway started = new Gateway(discovery, Gateway.SETTINGS)) {
            gateway = started;
            gateway.awaitReady();
            try (Clients clients = new Clients(gateway.port(), run)) {
                send(clients);
                Thread.sleep(4_000);
                return judge(clients);
            }
        }
    }

    private void send(Clients clients) throws Exception {
        SplittableRandom random = new SplittableRandom(7);
        long begin = run.micros();
        int sent = 0;
        while (run.micros() - begin < SECONDS * 1_000_000L) {
            while (sent < (run.micros() - begin) * RATE / 1_000_000L) {
                sent++;
                boolean isWrite = random.nextBoolean();
                clients.send(
                        isWrite ? WRITE : READ,
                        random.nextInt(TARGETS),
                        isWrite ? 4.0 : 2.5,
                        new byte[isWrite ? 200 : 0]);
            }
            Thread.sleep(1);
        }
    }

    private static byte[] body(String id) {
        return Http.bytes("the object of " + id);
    }

    /** Answers after the time of the work; some answers have a second copy behind them. */
    private void answer(Target target, Target.Link link, Http.Message request) throws Exception {
        Thread.sleep(ThreadLocalRandom.current().nextInt(20, 50));
        String id = request.header("x-txn");
        boolean isFull = ThreadLocalRandom.current().nextDouble() < FULL_SHARE;
        byte[] answer =
                isFull
                        ? Http.response(503, "Full", "X-Turned-Away: 1\r\n", new byte[0])
                        : Http.ok(body(id));
        if (!isFull) {
            runs.merge(id, 1, Integer::sum);
        }
        link.write(answer);
        long answeredMicros = run.micros();
        run.note("target %s %s %s", target.uid, isFull ? "turned away" : "ran and answered", id);
        boolean hasCopy =
                run.hasTrouble
                        && !isFull
                        && ThreadLocalRandom.current().nextDouble() < COPY_SHARE;
        if (!hasCopy) {
            return;
        }
        long dueMicros =
                answeredMicros
                        + ThreadLocalRandom.current().nextInt(MIN_LATE_MICROS, MAX_LATE_MICROS);
        holdIfDue(answeredMicros);
        while (run.micros() < dueMicros) {
            LockSupport.parkNanos(100_000);
        }
        long lateMicros = run.micros() - answeredMicros;
        boolean isWaited = link.socket.getInputStream().available() > 0;
        if (!isWaited && lateMicros <= LATEST_MICROS) {
            link.write(answer);
            copies.incrementAndGet();
            run.note("target %s sent a second copy for %s, %d us late", target.uid, id, lateMicros);
        }
    }

    /** Holds up the initiator from 1 ms after an answer on. */
    private void holdIfDue(long answeredMicros) {
        long due = nextHoldMicros.get();
        if (answeredMicros < due
                || !nextHoldMicros.compareAndSet(due, answeredMicros + HOLD_INTERVAL_MICROS)) {
            return;
        }
        Run.daemon(
                "hold",
                () -> {
                    LockSupport.parkNanos(1_000_000);
                    long begin = run.micros();
                    gateway.signal("STOP");
                    Thread.sleep(HOLD_MILLIS);
                    gateway.signal("CONT");
                    holds.incrementAndGet();
                    long heldMicros = run.micros() - begin;
                    longestHoldMicros.accumulateAndGet(heldMicros, Math::max);
                    run.note("initiator held up for %d us", heldMicros);
                });
    }

    private int judge(Clients clients) throws IOException {
        int foreign = 0;
        int unrun = 0;
        int twice = 0;
        for (Clients.Call call : clients.calls.values()) {
            String body = new String(call.body, StandardCharsets.UTF_8);
            int ran = runs.getOrDefault(call.id, 0);
            run.note(
                    "client sent %s %s at %d us, ran %d times, status %d at %d us: %s",
                    call.lane, call.id, call.sentMicros, ran, call.status, call.answeredMicros, body);
            boolean isForeign =
                    call.status == 200
                            && !body.equals(new String(body(call.id), StandardCharsets.UTF_8));
            if (isForeign) {
                foreign++;
                run.result(
                        "BROKEN: %s %s, which ran %d times, was answered 200 with: %s",
                        call.lane, call.id, ran, body);
            }
            unrun += isForeign && ran == 0 ? 1 : 0;
            if (call.lane.equals(WRITE) && ran > 1) {
                twice++;
                run.result("BROKEN: %s %s ran %d times", call.lane, call.id, ran);
            }
            if (call.lane.equals(WRITE) && ran > 0 && call.status == 503) {
                twice++;
                run.result("BROKEN: %s %s ran and was refused with 503", call.lane, call.id);
            }
        }
        run.result(
                "answers to other requests %d (%d of them to requests that no target ran);"
                        + " one-shot writes run twice or refused after a run %d; requests %d,"
                        + " 200 %d, 503 %d, 502 %d; second copies %d, holds %d",
                foreign,
                unrun,
                twice,
                clients.calls.size(),
                clients.count(200),
                clients.count(503),
                clients.count(502),
                copies.get(),
                holds.get());
        if (longestHoldMicros.get() > MAX_HOLD_MICROS
                || clients.count(200) < clients.calls.size() / 2) {
            run.result("longest hold %d us", longestHoldMicros.get());
            return Run.COULD_NOT_RUN;
        }
        return foreign + twice > 0 ? Run.BROKEN : Run.HELD;
    }
}
