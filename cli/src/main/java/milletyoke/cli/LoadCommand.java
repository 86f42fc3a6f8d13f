package milletyoke.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.standins.LoadGenerator;
import milletyoke.standins.LoadProfile;
import milletyoke.wire.FrameObserver;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Asks running initiators for accesses at a rate, whether or not earlier ones were answered.")
final class LoadCommand implements Callable<Integer> {
    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description = "An initiator's setup: its categories and plans are asked for.")
    private Path config;

    @Option(
            names = "--initiator",
            required = true,
            paramLabel = "HOST:PORT",
            description = "May come again.")
    private List<String> initiators;

    @Option(
            names = "--shards",
            required = true,
            description = "Shards 0 to this less one are asked for.")
    private int shards;

    @Option(
            names = "--rate",
            defaultValue = "200",
            description = "Accesses a second (${DEFAULT-VALUE}).")
    private double rate;

    @Option(names = "--seconds", defaultValue = "10", description = "How long (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--abandon-millis",
            defaultValue = "4000",
            description = "How long each client waits (${DEFAULT-VALUE}).")
    private long abandon;

    @Override
    public Integer call() throws Exception {
        if (rate <= 0 || seconds < 1 || seconds > 3600 || shards < 1) {
            throw new IllegalArgumentException(
                    "--rate over 0, --seconds of 1 to 3600 and --shards of 1 or more are"
                            + " expected");
        }
        InitiatorConfig setup = InitiatorConfig.read(config);
        SchedulerSettings given = setup.deployment().scheduler();
        List<LoadProfile.RequestClass> kinds = new ArrayList<>();
        for (SchedulerSettings.RequestClass c : given.requestClasses()) {
            kinds.add(
                    new LoadProfile.RequestClass(
                            c.name(),
                            1.0 / given.requestClasses().size(),
                            1,
                            4,
                            c.idempotency() != SchedulerSettings.Idempotency.IDEMPOTENT,
                            c.keyOrdered(),
                            LoadProfile.Idempotency.valueOf(c.idempotency().name()),
                            c.deduplicationScope() == SchedulerSettings.DeduplicationScope.ALL,
                            c.latencyObjectiveMicros(),
                            abandon * 1000,
                            c.priorityWeight(),
                            false));
        }
        int[] all = java.util.stream.IntStream.range(0, shards).toArray();
        int[] doors = java.util.stream.IntStream.range(0, initiators.size()).toArray();
        List<LoadProfile.Volume> volumes =
                given.plans().stream()
                        .map(
                                p ->
                                        new LoadProfile.Volume(
                                                "load-" + p.name(),
                                                p.name(),
                                                1.0 / given.plans().size(),
                                                all,
                                                doors))
                        .toList();
        LoadProfile demand =
                new LoadProfile(
                        rate,
                        kinds,
                        volumes,
                        1,
                        100_000,
                        0,
                        1,
                        1,
                        0,
                        setup.deployment().responseSlackMicros(),
                        0,
                        0,
                        List.of());
        LoadGenerator clients =
                new LoadGenerator(
                        demand,
                        false,
                        System.nanoTime(),
                        Executors.newScheduledThreadPool(2),
                        FrameObserver.NONE);
        for (String text : initiators) {
            Address at = Address.of(text);
            clients.addInitiator(text, at.host(), at.port());
        }
        if (!clients.awaitConnected(5_000)) {
            System.err.println("milletyoke: no way in within 5 s");
            return 1;
        }
        clients.start();
        for (int second = 1; second <= seconds; second++) {
            Thread.sleep(1_000);
            System.out.printf("%3d s  %s%n", second, clients.service().summary());
        }
        int left = clients.stop(abandon + 1_000);
        System.out.print(clients.service().text());
        return left == 0 ? 0 : 1;
    }
}
