package milletyoke.cli;

import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import milletyoke.standins.DeduplicationCache;
import milletyoke.standins.ExecutionListener;
import milletyoke.standins.Target;
import milletyoke.standins.TargetBehavior;
import milletyoke.wire.FrameObserver;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "target",
        mixinStandardHelpOptions = true,
        description = "Runs one stand-in for a storage node; it keeps no data, its work is time.")
final class TargetCommand implements Callable<Integer> {
    @Option(names = "--id", required = true)
    private String id;

    @Option(names = "--shard", required = true, description = "The shard that it holds.")
    private int shard;

    @Option(names = "--port", defaultValue = "0", description = "0 takes a free one.")
    private int port;

    @Option(names = "--cores", defaultValue = "2")
    private int cores;

    @Option(names = "--speed", defaultValue = "1")
    private double speed;

    @Option(
            names = "--unit-micros",
            defaultValue = "2000",
            description = "Work of one unit (${DEFAULT-VALUE}).")
    private long unit;

    @Option(
            names = "--room",
            defaultValue = "40",
            description = "Accesses that may wait (${DEFAULT-VALUE}).")
    private int room;

    @Option(
            names = "--marks-millis",
            defaultValue = "2500",
            description = "How long this target knows a mark (${DEFAULT-VALUE}).")
    private long marks;

    @Override
    public Integer call() throws Exception {
        TargetBehavior nature =
                new TargetBehavior(
                        cores, speed, unit, room, 1000, 3, 0.5, 0.3, 2_000_000, 0, 0, 1, 0, 1, 0,
                        true, false);
        DeduplicationCache known = new DeduplicationCache(marks * 1000);
        Target target =
                new Target(
                        id,
                        shard,
                        nature,
                        System.nanoTime(),
                        Executors.newScheduledThreadPool(2),
                        category -> known,
                        FrameObserver.NONE,
                        ExecutionListener.NONE);
        target.startAt(port);
        System.out.println(id + " serves shard " + shard + " at port " + target.port());
        Thread.currentThread().join();
        return 0;
    }
}
