package milletyoke.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import milletyoke.standins.DeduplicationCache;
import milletyoke.standins.ExecutionListener;
import milletyoke.standins.Target;
import milletyoke.standins.TargetBehavior;
import milletyoke.wire.FrameObserver;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code target}: a stand-in for one storage node. */
@Command(
        name = "target",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in for one storage node; it stores nothing, its work is time.")
final class TargetCommand implements Callable<Integer> {
    private static final int THREADS = 2;
    private static final int MAX_CONNECTIONS = 1000;
    private static final int REMEMBERED_EXTENTS = 3;
    private static final double REMEMBERED_EXTENT_SAVING = 0.5;
    private static final double DEFERRED_WRITE_FRACTION = 0.3;
    private static final long DEFERRED_WORK_PERIOD_MICROS = 2_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    @Option(names = "--id", required = true, description = "Its name.")
    private String id;

    @Option(names = "--shard", required = true, description = "The shard that it holds.")
    private int shard;

    @Option(names = "--port", defaultValue = "0", description = "0 picks a free one.")
    private int port;

    @Option(
            names = "--cores",
            defaultValue = "2",
            description = "Requests that run at once (${DEFAULT-VALUE}).")
    private int cores;

    @Option(
            names = "--speed",
            defaultValue = "1",
            description = "Speed of a core (${DEFAULT-VALUE}).")
    private double coreSpeed;

    @Option(
            names = "--unit-micros",
            defaultValue = "2000",
            description = "Work of one unit (${DEFAULT-VALUE}).")
    private long unitMicros;

    @Option(
            names = "--room",
            defaultValue = "40",
            description = "Requests that may be queued (${DEFAULT-VALUE}).")
    private int queueCapacity;

    @Option(
            names = "--marks-millis",
            defaultValue = "2500",
            description = "How long this target remembers an idempotency key (${DEFAULT-VALUE}).")
    private long deduplicationWindowMillis;

    @Override
    public Integer call() throws IOException, InterruptedException {
        DeduplicationCache executedKeys =
                new DeduplicationCache(deduplicationWindowMillis * MICROS_PER_MILLI);
        Target target =
                new Target(
                        id,
                        shard,
                        behavior(),
                        System.nanoTime(),
                        Executors.newScheduledThreadPool(THREADS),
                        requestClass -> executedKeys,
                        FrameObserver.NONE,
                        ExecutionListener.NONE);
        target.startAt(port);
        System.out.println(id + " serves shard " + shard + " at port " + target.port());
        Thread.currentThread().join();
        return 0;
    }

    /** A target that is warm from the start, never pauses and reports its load. */
    private TargetBehavior behavior() {
        return new TargetBehavior(
                cores,
                coreSpeed,
                unitMicros,
                queueCapacity,
                MAX_CONNECTIONS,
                REMEMBERED_EXTENTS,
                REMEMBERED_EXTENT_SAVING,
                DEFERRED_WRITE_FRACTION,
                DEFERRED_WORK_PERIOD_MICROS,
                0,
                0,
                1,
                0,
                1,
                0,
                true,
                false);
    }
}
