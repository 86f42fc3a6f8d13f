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
 * Plays one bad day on loopback sockets: real initiators between stand-ins for clients, targets and
 * discovery, all in this process, and every trouble of the script at its time.
 */
public final class ScenarioRunner implements AutoCloseable {
    private static final long STALL_CHECK_MICROS = 5_000;

    /** The machine stalled where a sleep of the check's length took this much longer. */
    private static final long STALL_THRESHOLD_MICROS = 15_000;

    private final Scenario scenario;
    private final ExecutionEnvironment environment;
    private final RunContext context;
    private final Path folder;
    private final TargetFleet targets;
    private final InitiatorFleet initiators;
    private final LoadGenerator loadGenerator;
    private final FaultSchedule faultSchedule;

    /**
     * What came of it.
     *
     * @param unfinished tries still without an answer when all should have had one
     * @param cpuMicrosPerRequest of this process, for each access asked
     * @param warmUpBudgetUsed the largest part of what a cold target bears that any was sent
     */
    public record ScenarioResult(
            ServiceLevelRecorder serviceLevels,
            long unfinished,
            double cpuMicrosPerRequest,
            List<String> initiatorCounters,
            boolean isShutdownClean,
            double warmUpBudgetUsed) {}

    /**
     * Sets the stage; nothing is asked yet.
     *
     * @param recording where what the sockets saw is written; null for nowhere
     * @param isDirect clients go straight to the targets, for comparison; there are no initiators
     *     then
     */
    public ScenarioRunner(Scenario scenario, Path recording, boolean straight) throws IOException {
        this(scenario, recording, straight, null);
    }

    /**
     * @param consoleTokens who may look at the initiators' consoles, null for no consoles
     */
    public ScenarioRunner(Scenario scenario, Path recording, boolean straight, Path consoleTokens)
            throws IOException {
        this(scenario, recording, straight, consoleTokens, new SocketEnvironment(), null);
    }

    /**
     * @param environment that the day is played in; where it is virtual, nobody looks at consoles
     * @param schedulerOverride of the product's decisions, for comparison; null for these
     */
    public ScenarioRunner(
            Scenario scenario,
            Path recording,
            boolean straight,
            Path consoleTokens,
            ExecutionEnvironment world,
            Supplier<Scheduler> instead)
            throws IOException {
        this.scenario = scenario;
        environment = world;
        rejectSimulationOnlyScenario(scenario);
        context = new RunContext(scenario, world, recording);
        folder = Files.createTempDirectory("milletyoke-rehearsal");
        PlanLimits planLimits = new PlanLimits(context, folder);
        targets = new TargetFleet(context);
        initiators =
                new InitiatorFleet(
                        context,
                        planLimits,
                        folder,
                        consoleTokens,
                        instead,
                        targets.discovery().port(),
                        straight ? 0 : scenario.initiators());
        LoadProfileBuilder load = new LoadProfileBuilder(scenario);
        loadGenerator =
                new LoadGenerator(
                        load.build(),
                        straight,
                        context.random().nextLong(),
                        context.executor(),
                        context.observer("client"),
                        world);
        addServers(straight);
        FaultInjector injector =
                new FaultInjector(
                        context,
                        planLimits,
                        targets,
                        initiators,
                        loadGenerator,
                        load.volumes(),
                        straight);
        faultSchedule = new FaultSchedule(context, injector, loadGenerator);
        if (!world.isVirtual()) {
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
            targets.targets().forEach(t -> loadGenerator.addServer("127.0.0.1", t.port()));
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
                                    + ": a "
                                    + fault.type().name().toLowerCase(Locale.ROOT)
                                    + " is played in the lab alone: bin/milletyoke lab play");
                }
            }
            if (scenario.initiators() > 100 || scenario.fleet().targets() > 1000) {
                throw new IOException(
                        scenario.name()
                                + ": up to 100 initiators and 1000 targets are played on sockets, not "
                                + scenario.initiators()
                                + " and "
                                + scenario.fleet().targets()
                                + "; the lab plays more: bin/milletyoke lab play");
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

    /** Initiators by number from 0, as they are now. */
    public Initiator initiator(int i) {
        return initiators.get(i);
    }

    /**
     * Keeps the traffic that comes in at each initiator that runs now, in files of their names; for
     * replay.
     */
    public void capture(Path to) throws IOException {
        Files.createDirectories(to);
        initiators.capture(to);
    }

    /**
     * Plays the day to its end. @param live hears a line of service every second; may do nothing
     */
    public ScenarioResult run(Consumer<String> live) throws IOException, InterruptedException {
        int[] second = new int[1];
        return run(
                s -> live.accept(String.format("%3d s  %s", ++second[0], s.summary())), () -> {});
    }

    /**
     * Plays the day to its end.
     *
     * @param each sees the service so far after every second
     * @param before is run when clients have stopped asking, before the initiators leave
     */
    public ScenarioResult run(Consumer<ServiceLevelRecorder> each, Runnable before)
            throws IOException, InterruptedException {
        if (!loadGenerator.awaitConnected(10_000)) {
            throw new IOException("the clients found no way in within 10 s");
        }
        environment.sleep(300_000); // the list reaches every initiator
        long cpu = cpu();
        scenario.faults().forEach(faultSchedule::schedule);
        loadGenerator.start();
        long start = environment.monotonicMicros();
        for (long second = 1;
                environment.monotonicMicros() < start + scenario.durationMicros();
                second++) {
            long until = Math.min(start + second * 1_000_000, start + scenario.durationMicros());
            environment.sleep(until - environment.monotonicMicros());
            each.accept(loadGenerator.serviceLevels());
        }
        before.run();
        long longest =
                scenario.classLoads().stream()
                        .mapToLong(Scenario.ClassLoad::deadlineMicros)
                        .max()
                        .orElse(0);
        int unfinished =
                loadGenerator.stop(
                        (longest + scenario.ruleBounds().responseSlackMicros()) / 1000 + 1_000);
        double cpuEach =
                (cpu() - cpu) / 1e3 / Math.max(1, loadGenerator.serviceLevels().totalRequests());
        List<String> counts = new ArrayList<>();
        boolean clean = true;
        for (int n = 0; n < initiators.count(); n++) {
            Initiator i = initiators.get(n);
            if (initiators.isRunning(n)) {
                var p = i.eventLoop().snapshot();
                clean &= i.shutDown(longest / 1000 + 1_000);
                counts.add(
                        String.format(
                                "%s: %s; turns p50 %d us, p99 %d us; pictures take %.2f%% of the loop's time",
                                i.name(),
                                i.counters(),
                                p.loopP50Micros(),
                                p.loopP99Micros(),
                                100 * p.snapshotCostShare()));
            }
        }
        return new ScenarioResult(
                loadGenerator.serviceLevels(),
                unfinished,
                cpuEach,
                counts,
                clean,
                targets.warmUpBudgetUsed());
    }

    private static long cpu() {
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
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
