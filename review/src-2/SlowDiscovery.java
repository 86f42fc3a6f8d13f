import java.util.ArrayList;
import java.util.List;

/**
 * Discovery is slow: it takes calls at once and gives each answer a second late. A target begins to
 * drain meanwhile. Nothing new may go there once the change counts as told and the grace is over.
 */
final class SlowDiscovery {
    /** How late each answer of a slow discovery is. */
    private static final long SLOW_MILLIS = 1_000;

    /** A change counts as told at the latest so long after discovery had it. */
    private static final long TOLD_MICROS = 6_000_000;

    /** The grace of the settings, the 50 ms of all times on sockets, 0.15 s of a held-up process. */
    private static final long GRACE_MICROS = 500_000 + 50_000 + 150_000;

    private static final long AFTER_MILLIS = 14_000;

    public static void main(String[] arguments) {
        Kit.main(SlowDiscovery::play);
    }

    private static boolean play() throws Exception {
        List<Kit.Target> targets = new ArrayList<>();
        targets.add(new Kit.Target("s-old", 0));
        targets.add(new Kit.Target("s-other", 1));
        Kit.Discovery discovery = new Kit.Discovery(targets);
        Kit.Program program =
                new Kit.Program(
                        "n1",
                        Kit.config("n1", discovery.port(), discovery.whole(), 2, ""),
                        discovery.port());
        program.awaitReady();
        Thread load = Kit.start("load", () -> load(program.port));
        Kit.sleep(3_000);
        if (Kit.TROUBLE) {
            Kit.note("from now on, each answer of discovery comes " + SLOW_MILLIS + " ms late");
            discovery.slowMillis = SLOW_MILLIS;
        }
        Kit.sleep(3_000);
        long answered = discovery.answers.get();
        long changedAt = Kit.micros();
        discovery.change(targets.get(0), "draining");
        Kit.sleep(AFTER_MILLIS);
        load.interrupt();
        long toldAt = changedAt + TOLD_MICROS;
        long late = 0;
        long last = 0;
        for (long sentAt : new ArrayList<>(targets.get(0).ranAtMicros)) {
            last = Math.max(last, sentAt);
            late += sentAt > toldAt + GRACE_MICROS ? 1 : 0;
        }
        Kit.say(
                String.format(
                        "requests at the draining target: the last %.2f s after discovery had the change,"
                                + " %d of them more than %.2f s after it; discovery gave %d answers since",
                        (last - changedAt) / 1e6,
                        late,
                        (TOLD_MICROS + GRACE_MICROS) / 1e6,
                        discovery.answers.get() - answered));
        return late == 0;
    }

    private static boolean load(int port) throws Exception {
        try (Kit.Client client = new Kit.Client(port)) {
            for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
                client.ask(Kit.Request.read(i % 2, 2.5), 5_000);
                Kit.sleep(50);
            }
        }
        return true;
    }
}
