package milletyoke.cli;

import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import milletyoke.standins.Marks;
import milletyoke.standins.Nature;
import milletyoke.standins.Target;
import milletyoke.standins.Witness;
import milletyoke.wire.Tap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "target",
        mixinStandardHelpOptions = true,
        description = "Runs one stand-in for a storage node; it keeps no data, its work is time.")
final class RunTarget implements Callable<Integer> {
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
        Nature nature =
                new Nature(
                        cores, speed, unit, room, 1000, 3, 0.5, 0.3, 2_000_000, 0, 0, 1, 0, 1, 0,
                        true, false);
        Marks known = new Marks(marks * 1000);
        Target target =
                new Target(
                        id,
                        shard,
                        nature,
                        System.nanoTime(),
                        Executors.newScheduledThreadPool(2),
                        category -> known,
                        Tap.NONE,
                        Witness.NONE);
        target.startAt(port);
        System.out.println(id + " serves shard " + shard + " at port " + target.port());
        Thread.currentThread().join();
        return 0;
    }
}
