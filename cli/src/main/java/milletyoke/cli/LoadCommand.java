package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.standins.LoadGenerator;
import milletyoke.standins.LoadProfile;
import milletyoke.wire.FrameObserver;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** The command {@code load}: generates an open-loop load on running initiators. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Sends requests to running initiators at a fixed rate, without waiting for earlier replies.")
final class LoadCommand implements Callable<Integer> {
    private static final int MAX_SECONDS = 3600;
    private static final int MIN_UNITS = 1;
    private static final int MAX_UNITS = 4;
    private static final int RETRIES = 1;
    private static final long RETRY_DELAY_MICROS = 100_000;
    private static final long CONNECT_TIMEOUT_MILLIS = 5_000;
    private static final long STOP_GRACE_MILLIS = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int GENERATOR_THREADS = 2;

    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description =
                    "An initiator's configuration file; the load uses its request classes and service plans.")
    private Path configFile;

    @Option(
            names = "--initiator",
            required = true,
            paramLabel = "HOST:PORT",
            description = "An initiator to send requests to; may be repeated.")
    private List<String> initiators;

    @Option(
            names = "--shards",
            required = true,
            description = "Number of shards; requests go to the shards 0 to N-1.")
    private int shards;

    @Option(
            names = "--rate",
            defaultValue = "200",
            description = "Requests per second (${DEFAULT-VALUE}).")
    private double requestsPerSecond;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "Duration of the load (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--abandon-millis",
            defaultValue = "4000",
            description = "Time after which a client abandons a request (${DEFAULT-VALUE}).")
    private long deadlineMillis;

    @Override
    public Integer call() throws IOException, ConfigException, InterruptedException {
        if (requestsPerSecond <= 0 || seconds < 1 || seconds > MAX_SECONDS || shards < 1) {
            throw new IllegalArgumentException(
                    "expected --rate above 0, --seconds from 1 to 3600"
                            + " and --shards of at least 1");
        }
        LoadGenerator generator =
                new LoadGenerator(
                        loadProfile(InitiatorConfig.read(configFile)),
                        false,
                        System.nanoTime(),
                        Executors.newScheduledThreadPool(GENERATOR_THREADS),
                        FrameObserver.NONE);
        for (String initiator : initiators) {
            Address address = Address.of(initiator);
            generator.addServer(address.host(), address.port());
        }
        if (!generator.awaitConnected(CONNECT_TIMEOUT_MILLIS)) {
            System.err.println("milletyoke: not every initiator was connected within 5 s");
            return ExitCode.SOFTWARE;
        }
        return run(generator);
    }

    private int run(LoadGenerator generator) throws InterruptedException {
        generator.start();
        for (int second = 1; second <= seconds; second++) {
            Thread.sleep(1_000);
            System.out.printf("%3d s  %s%n", second, generator.serviceLevels().summary());
        }
        int unfinished = generator.stop(deadlineMillis + STOP_GRACE_MILLIS);
        System.out.print(generator.serviceLevels().text());
        return unfinished == 0 ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private LoadProfile loadProfile(InitiatorConfig config) {
        SchedulerSettings scheduler = config.deployment().scheduler();
        double classShare = 1.0 / scheduler.requestClasses().size();
        List<LoadProfile.RequestClass> requestClasses =
                scheduler.requestClasses().stream()
                        .map(requestClass -> requestClass(requestClass, classShare))
                        .toList();
        return new LoadProfile(
                requestsPerSecond,
                requestClasses,
                volumes(scheduler.plans()),
                RETRIES,
                RETRY_DELAY_MICROS,
                0,
                1,
                1,
                0,
                config.deployment().responseSlackMicros(),
                0,
                0,
                List.of());
    }

    private LoadProfile.RequestClass requestClass(
            SchedulerSettings.RequestClass requestClass, double share) {
        return new LoadProfile.RequestClass(
                requestClass.name(),
                share,
                MIN_UNITS,
                MAX_UNITS,
                requestClass.idempotency() != SchedulerSettings.Idempotency.IDEMPOTENT,
                requestClass.keyOrdered(),
                LoadProfile.Idempotency.valueOf(requestClass.idempotency().name()),
                requestClass.deduplicationScope() == SchedulerSettings.DeduplicationScope.ALL,
                requestClass.latencyObjectiveMicros(),
                deadlineMillis * MICROS_PER_MILLI,
                requestClass.priorityWeight(),
                false);
    }

    /**
     * Returns one volume per plan, with data on every shard and requests through every initiator.
     */
    private List<LoadProfile.Volume> volumes(List<SchedulerSettings.ServicePlan> plans) {
        List<Integer> allShards = IntStream.range(0, shards).boxed().toList();
        List<Integer> allInitiators = IntStream.range(0, initiators.size()).boxed().toList();
        return plans.stream()
                .map(
                        plan ->
                                new LoadProfile.Volume(
                                        "load-" + plan.name(),
                                        plan.name(),
                                        1.0 / plans.size(),
                                        allShards,
                                        allInitiators))
                .toList();
    }
}
