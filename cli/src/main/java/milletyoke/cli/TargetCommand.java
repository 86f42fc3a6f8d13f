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

/** The command {@code target}: runs a stand-in for one storage node. */
@Command(
        name = "target",
        mixinStandardHelpOptions = true,
        description =
                "Runs a stand-in for one storage node, which stores no data and only simulates service times.")
final class TargetCommand implements Callable<Integer> {
    private static final int THREADS = 2;
    private static final int MAX_CONNECTIONS = 1000;
    private static final int REMEMBERED_EXTENTS = 3;
    private static final double REMEMBERED_EXTENT_SAVING = 0.5;
    private static final double DEFERRED_WRITE_FRACTION = 0.3;
    private static final long DEFERRED_WORK_PERIOD_MICROS = 2_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    @Option(names = "--id", required = true, description = "The target's name.")
    private String id;

    @Option(
            names = "--shard",
            required = true,
            description = "Number of the shard that the target serves.")
    private int shard;

    @Option(
            names = "--port",
            defaultValue = "0",
            description = "Port to listen on; 0 picks a free port.")
    private int port;

    @Option(
            names = "--cores",
            defaultValue = "2",
            description = "Number of requests executed concurrently (${DEFAULT-VALUE}).")
    private int cores;

    @Option(
            names = "--speed",
            defaultValue = "1",
            description = "Relative speed of a core (${DEFAULT-VALUE}).")
    private double coreSpeed;

    @Option(
            names = "--unit-micros",
            defaultValue = "2000",
            description = "Service time of one unit at speed 1 (${DEFAULT-VALUE}).")
    private long unitMicros;

    @Option(
            names = "--room",
            defaultValue = "40",
            description = "Maximum number of queued requests (${DEFAULT-VALUE}).")
    private int queueCapacity;

    @Option(
            names = "--marks-millis",
            defaultValue = "2500",
            description =
                    "Deduplication window: time that an idempotency key is kept (${DEFAULT-VALUE}).")
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

    /** Returns the behavior of a target that starts warm, never pauses and reports its load. */
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
