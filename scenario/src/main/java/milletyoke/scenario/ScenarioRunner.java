package milletyoke.scenario;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import milletyoke.gateway.Initiator;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.standins.LoadGenerator;
import milletyoke.standins.ServiceLevelRecorder;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.SocketEnvironment;
import milletyoke.wire.proto.Note;

/**
 * Runs one scenario: real initiators with stand-ins for clients, targets and discovery, all in this
 * process, and the faults of the script at their times. The environment is loopback sockets or a
 * simulation.
 */
public final class ScenarioRunner implements AutoCloseable {
    private static final long STALL_CHECK_MICROS = 5_000;

    /**
     * The machine is considered stalled if a sleep of {@link #STALL_CHECK_MICROS} takes this much
     * longer.
     */
    private static final long STALL_THRESHOLD_MICROS = 15_000;

    private final Scenario scenario;
    private final ExecutionEnvironment environment;
    private final RunContext context;
    private final Path directory;
    private final TargetFleet targets;
    private final InitiatorFleet initiators;
    private final LoadGenerator loadGenerator;
    private final FaultSchedule faultSchedule;

    /**
     * The result of a run.
     *
     * @param unfinished requests without a response when all deadlines had passed
     * @param cpuMicrosPerRequest CPU time of this process per request sent
     * @param warmUpBudgetUsed the largest fraction of its warm-up budget that any target was sent
     */
    public record ScenarioResult(
            ServiceLevelRecorder serviceLevels,
            long unfinished,
            double cpuMicrosPerRequest,
            List<String> initiatorCounters,
            boolean isShutdownClean,
            double warmUpBudgetUsed) {}

    /**
     * Starts the deployment; no requests are sent yet.
     *
     * @param recording file to record the frames of all connections in; null for no recording
     * @param isDirect whether clients connect to the targets directly, for comparison; no
     *     initiators are started then
     */
    public ScenarioRunner(Scenario scenario, Path recording, boolean isDirect) throws IOException {
        this(scenario, recording, isDirect, null);
    }

    /**
     * Starts the deployment, with consoles of the initiators.
     *
     * @param consoleTokens file of the tokens that grant access to the consoles; null for no
     *     consoles
     */
    public ScenarioRunner(Scenario scenario, Path recording, boolean isDirect, Path consoleTokens)
            throws IOException {
        this(scenario, recording, isDirect, consoleTokens, new SocketEnvironment(), null);
    }

    /**
     * Starts the deployment in an environment.
     *
     * @param environment sockets, or a simulation; consoles are not used in a simulation
     * @param schedulerOverride supplies a scheduler in place of that of the initiators, for
     *     comparison; null for none
     */
    public ScenarioRunner(
            Scenario scenario,
            Path recording,
            boolean isDirect,
            Path consoleTokens,
            ExecutionEnvironment environment,
            Supplier<Scheduler> schedulerOverride)
            throws IOException {
        this.scenario = scenario;
        this.environment = environment;
        rejectSimulationOnlyScenario(scenario);
        context = new RunContext(scenario, environment, recording);
        directory = Files.createTempDirectory("milletyoke-rehearsal");
        PlanLimits planLimits = new PlanLimits(context, directory);
        targets = new TargetFleet(context);
        initiators =
                new InitiatorFleet(
                        context,
                        planLimits,
                        directory,
                        consoleTokens,
                        schedulerOverride,
                        targets.discovery().port(),
                        isDirect ? 0 : scenario.initiators());
        LoadProfileBuilder profileBuilder = new LoadProfileBuilder(scenario);
        loadGenerator =
                new LoadGenerator(
                        profileBuilder.build(),
                        isDirect,
                        context.random().nextLong(),
                        context.executor(),
                        context.observer("client"),
                        environment);
        addServers(isDirect);
        FaultInjector injector =
                new FaultInjector(
                        context,
                        planLimits,
                        targets,
                        initiators,
                        loadGenerator,
                        profileBuilder.volumes(),
                        isDirect);
        faultSchedule = new FaultSchedule(context, injector, loadGenerator);
        if (!environment.isVirtual()) {
            Thread stallDetector = new Thread(this::detectMachineStalls, "naps");
            stallDetector.setDaemon(true);
            stallDetector.start();
        }
    }

    private void addServers(boolean isDirect) {
        for (int i = 0; i < initiators.count(); i++) {
            loadGenerator.addServer("127.0.0.1", initiators.port(i));
        }
        if (isDirect) {
            targets.targets()
                    .forEach(target -> loadGenerator.addServer("127.0.0.1", target.port()));
        }
    }

    private void rejectSimulationOnlyScenario(Scenario scenario) throws IOException {
        if (!environment.isVirtual()) {
            for (Fault fault : scenario.faults()) {
                if (fault.type().isSimulationOnly()) {
                    throw new IOException(
                            scenario.name()
                                    + ":"
                                    + fault.line()
                                    + ": fault type "
                                    + fault.type().name().toLowerCase(Locale.ROOT)
                                    + " needs a simulation: bin/milletyoke lab play");
                }
            }
            if (scenario.initiators() > 100 || scenario.fleet().targets() > 1000) {
                throw new IOException(
                        scenario.name()
                                + ": at most 100 initiators and 1000 targets can run on sockets, not "
                                + scenario.initiators()
                                + " and "
                                + scenario.fleet().targets()
                                + "; a simulation has no such limit: bin/milletyoke lab play");
            }
        }
    }

    private void detectMachineStalls() {
        long last = environment.monotonicMicros();
        while (!context.isFinished()) {
            LockSupport.parkNanos(STALL_CHECK_MICROS * 1000);
            long now = environment.monotonicMicros();
            if (now - last > STALL_CHECK_MICROS + STALL_THRESHOLD_MICROS) {
                context.note("machine", Note.Kind.STALLED, "", now - last);
            }
            last = now;
        }
    }

    /** Returns the current initiator of a number from 0. */
    public Initiator initiator(int i) {
        return initiators.get(i);
    }

    /**
     * Captures the requests that arrive at each running initiator, in one file per initiator, for
     * replay.
     */
    public void capture(Path directory) throws IOException {
        Files.createDirectories(directory);
        initiators.capture(directory);
    }

    /**
     * Runs the scenario to its end.
     *
     * @param onLine receives a line with the service level every second
     */
    public ScenarioResult run(Consumer<String> onLine) throws IOException, InterruptedException {
        int[] second = new int[1];
        return run(
                serviceLevels ->
                        onLine.accept(
                                String.format("%3d s  %s", ++second[0], serviceLevels.summary())),
                () -> {});
    }

    /**
     * Runs the scenario to its end.
     *
     * @param onSecond receives the service levels so far after every second
     * @param beforeShutdown runs after the load has ended, before the initiators are shut down
     */
    public ScenarioResult run(Consumer<ServiceLevelRecorder> onSecond, Runnable beforeShutdown)
            throws IOException, InterruptedException {
        if (!loadGenerator.awaitConnected(10_000)) {
            throw new IOException("the clients did not connect within 10 s");
        }
        environment.sleep(300_000); // every initiator receives the endpoint list
        long cpuNanosBefore = processCpuNanos();
        scenario.faults().forEach(faultSchedule::schedule);
        loadGenerator.start();
        long startMicros = environment.monotonicMicros();
        for (long second = 1;
                environment.monotonicMicros() < startMicros + scenario.durationMicros();
                second++) {
            long untilMicros =
                    Math.min(
                            startMicros + second * 1_000_000,
                            startMicros + scenario.durationMicros());
            environment.sleep(untilMicros - environment.monotonicMicros());
            onSecond.accept(loadGenerator.serviceLevels());
        }
        beforeShutdown.run();
        long longestDeadlineMicros =
                scenario.classLoads().stream()
                        .mapToLong(Scenario.ClassLoad::deadlineMicros)
                        .max()
                        .orElse(0);
        int unfinished =
                loadGenerator.stop(
                        (longestDeadlineMicros + scenario.ruleBounds().responseSlackMicros()) / 1000
                                + 1_000);
        double cpuMicrosPerRequest =
                (processCpuNanos() - cpuNanosBefore)
                        / 1e3
                        / Math.max(1, loadGenerator.serviceLevels().totalRequests());
        List<String> initiatorCounters = new ArrayList<>();
        boolean isShutdownClean = true;
        for (int i = 0; i < initiators.count(); i++) {
            Initiator initiator = initiators.get(i);
            if (initiators.isRunning(i)) {
                var snapshot = initiator.eventLoop().snapshot();
                isShutdownClean &= initiator.shutDown(longestDeadlineMicros / 1000 + 1_000);
                initiatorCounters.add(
                        String.format(
                                "%s: %s; loop turns p50 %d us, p99 %d us; snapshots take %.2f%% of loop time",
                                initiator.name(),
                                initiator.counters(),
                                snapshot.loopP50Micros(),
                                snapshot.loopP99Micros(),
                                100 * snapshot.snapshotCostShare()));
            }
        }
        return new ScenarioResult(
                loadGenerator.serviceLevels(),
                unfinished,
                cpuMicrosPerRequest,
                initiatorCounters,
                isShutdownClean,
                targets.warmUpBudgetUsed());
    }

    private static long processCpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    @Override
    public void close() throws IOException {
        context.finish();
        loadGenerator.abort();
        context.executor().shutdownNow();
        initiators.killAll();
        targets.close();
        context.closeRecording();
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
