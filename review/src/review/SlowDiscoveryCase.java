package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Discovery answers every call 0.9 s late for some seconds. Meanwhile a target begins to drain and
 * another one takes its shard. The initiator must stop sending to the draining target in time.
 */
public final class SlowDiscoveryCase {
    private static final int TARGETS = 9;
    private static final int RATE = 60;
    private static final long DELAY_MILLIS = 900;
    private static final long SLOW_FROM_MICROS = 4_000_000;
    private static final long DRAIN_MICROS = 6_000_000;
    private static final long SLOW_UNTIL_MICROS = 22_000_000;
    private static final long END_MICROS = 26_000_000;

    /** Told at the latest 6 s after discovery had it; the grace of 0.5 s; 50 ms on sockets. */
    private static final long LATEST_MICROS = 6_000_000 + 500_000 + 50_000;

    private final Run run;
    private final ConcurrentLinkedQueue<Long> sentToDraining = new ConcurrentLinkedQueue<>();
    private volatile long drainingSinceMicros = Long.MAX_VALUE;

    private SlowDiscoveryCase(Run run) {
        this.run = run;
    }

    public static void main(String[] args) throws Exception {
        int status = Run.COULD_NOT_RUN;
        try (Run run = new Run(Path.of(args[0]))) {
            status = new SlowDiscoveryCase(run).play();
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
        List<Target> listed = new ArrayList<>(targets);
        try (Discovery discovery = new Discovery(listed);
                Gateway gateway = new Gateway(discovery, Gateway.SETTINGS)) {
            gateway.awaitReady();
            try (Clients clients = new Clients(gateway.port(), run)) {
                SplittableRandom random = new SplittableRandom(7);
                long begin = run.micros();
                long at = 0;
                int sent = 0;
                while (at < END_MICROS) {
                    boolean isSlow =
                            run.hasTrouble && at > SLOW_FROM_MICROS && at < SLOW_UNTIL_MICROS;
                    discovery.delayMillis = isSlow ? DELAY_MILLIS : 0;
                    if (at > DRAIN_MICROS && drainingSinceMicros == Long.MAX_VALUE) {
                        Target draining = targets.get(0);
                        Target replacement = new Target("s-0b", 0, this::answer);
                        draining.state = "draining";
                        drainingSinceMicros = run.micros();
                        discovery.change(() -> listed.add(replacement));
                        run.note("discovery has: s-0 drains, s-0b is up and holds its shard");
                    }
                    while (sent < at * RATE / 1_000_000L) {
                        sent++;
                        clients.send("squad-read", random.nextInt(TARGETS), 2.5, new byte[0]);
                    }
                    Thread.sleep(2);
                    at = run.micros() - begin;
                }
                Thread.sleep(3_000);
                return judge(discovery, clients);
            }
        }
    }

    private void answer(Target target, Target.Link link, Http.Message request) throws Exception {
        String id = request.header("x-txn");
        if (target.state.equals("draining")) {
            sentToDraining.add(run.micros());
            run.note("target %s, which drains, got %s and turned it away", target.uid, id);
            link.write(
                    Http.response(503, "Service Unavailable", "X-Turned-Away: 1\r\n", new byte[0]));
            return;
        }
        Thread.sleep(20);
        run.note("target %s ran %s and answered", target.uid, id);
        link.write(Http.ok(Http.bytes("the object")));
    }

    private int judge(Discovery discovery, Clients clients) {
        for (Clients.Call call : clients.calls.values()) {
            run.note(
                    "client sent %s for shard %d at %d us, status %d at %d us",
                    call.id, call.shard, call.sentMicros, call.status, call.answeredMicros);
        }
        discovery.log.forEach(line -> run.note("discovery: %s", line));
        long late =
                sentToDraining.stream()
                        .filter(micros -> micros > drainingSinceMicros + LATEST_MICROS)
                        .count();
        long last =
                sentToDraining.stream().mapToLong(Long::longValue).max().orElse(drainingSinceMicros);
        if (late > 0) {
            run.result(
                    "BROKEN: %d attempts sent to s-0 later than %d us after discovery had its drain",
                    late, LATEST_MICROS);
        }
        run.result(
                "attempts to s-0 while it drained: %d, the last %d us after discovery had it;"
                        + " requests %d: 200 %d, 503 %d, 502 %d",
                sentToDraining.size(),
                last - drainingSinceMicros,
                clients.calls.size(),
                clients.count(200),
                clients.count(503),
                clients.count(502));
        if (clients.count(200) < clients.calls.size() / 2) {
            return Run.COULD_NOT_RUN;
        }
        return late > 0 ? Run.BROKEN : Run.HELD;
    }
}
