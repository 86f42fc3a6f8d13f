package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One of nine targets hangs while clients write. The initiator may answer late or refuse, but it
 * must go on running.
 */
public final class MemoryCase {
    private static final int TARGETS = 9;

    /** Requests a second; DAYS.md allows three times 200. */
    private static final int RATE = 320;

    private static final int BODY_BYTES = 60_000;
    private static final double REMAINING_SECONDS = 4.0;
    private static final long HANG_FROM_MICROS = 6_000_000;
    private static final long HANG_UNTIL_MICROS = 18_000_000;
    private static final long END_MICROS = 22_000_000;

    private final Run run;

    private MemoryCase(Run run) {
        this.run = run;
    }

    public static void main(String[] args) throws Exception {
        int status = Run.COULD_NOT_RUN;
        try (Run run = new Run(Path.of(args[0]))) {
            status = new MemoryCase(run).play();
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
                Gateway gateway = new Gateway(discovery, Gateway.SETTINGS)) {
            gateway.awaitReady();
            try (Clients clients = new Clients(gateway.port(), run)) {
                write(gateway, targets.get(0), clients);
                boolean hasCrashed = !gateway.process.isAlive();
                Thread.sleep(hasCrashed ? 500 : 5_000);
                return judge(gateway, clients);
            }
        }
    }

    private void answer(Target target, Target.Link link, Http.Message request) throws Exception {
        Thread.sleep(ThreadLocalRandom.current().nextInt(15, 30));
        run.note("target %s ran %s and answered", target.uid, request.header("x-txn"));
        link.write(Http.ok(Http.bytes("stored")));
    }

    private void write(Gateway gateway, Target bad, Clients clients) throws Exception {
        SplittableRandom random = new SplittableRandom(7);
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        long begin = run.micros();
        long at = 0;
        long sent = 0;
        while (at < END_MICROS && gateway.process.isAlive()) {
            boolean shallHang = run.hasTrouble && at > HANG_FROM_MICROS && at < HANG_UNTIL_MICROS;
            if (shallHang != bad.isHanging) {
                bad.isHanging = shallHang;
                run.note("target %s %s", bad.uid, shallHang ? "hangs" : "hangs no more");
            }
            while (sent < at * RATE / 1_000_000L) {
                sent++;
                clients.send("transfer-write", random.nextInt(TARGETS), REMAINING_SECONDS, body);
            }
            Thread.sleep(2);
            at = run.micros() - begin;
        }
    }

    private int judge(Gateway gateway, Clients clients) throws IOException {
        boolean hasCrashed = !gateway.process.isAlive();
        for (Clients.Call call : clients.calls.values()) {
            run.note(
                    "client sent %s for shard %d at %d us, status %d at %d us",
                    call.id, call.shard, call.sentMicros, call.status, call.answeredMicros);
        }
        if (hasCrashed) {
            run.result(
                    "BROKEN: the initiator ended by itself with %d at %d us; its log:",
                    gateway.process.exitValue(), run.micros());
            for (String line : Files.readAllLines(gateway.log)) {
                run.result("  %s", line.length() > 300 ? line.substring(0, 300) : line);
            }
        }
        run.result(
                "requests %d: 200 %d, 503 %d, 502 %d, ended without an answer %d, open %d",
                clients.calls.size(),
                clients.count(200),
                clients.count(503),
                clients.count(502),
                clients.count(-1),
                clients.count(0));
        if (!hasCrashed && clients.count(200) < clients.calls.size() / 2) {
            return Run.COULD_NOT_RUN;
        }
        return hasCrashed ? Run.BROKEN : Run.HELD;
    }
}
