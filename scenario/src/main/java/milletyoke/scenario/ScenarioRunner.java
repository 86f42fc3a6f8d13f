package milletyoke.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import milletyoke.config.Checker;
import milletyoke.config.disk.FileSourceProvider;
import milletyoke.gateway.Initiator;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.DeploymentSettings;
import milletyoke.gateway.config.FleetConverter;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.reload.ConfigWatcher;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;
import milletyoke.standins.DeduplicationCache;
import milletyoke.standins.Discovery;
import milletyoke.standins.LoadGenerator;
import milletyoke.standins.LoadProfile;
import milletyoke.standins.ServiceLevelRecorder;
import milletyoke.standins.ServiceLevelRecorder.PriorityWeights;
import milletyoke.standins.Target;
import milletyoke.standins.TargetBehavior;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.SocketEnvironment;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Note;
import milletyoke.wire.recording.Recorder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plays one bad day on loopback sockets: real initiators between stand-ins for clients, targets and
 * discovery, all in this process, and every trouble of the script at its time.
 */
public final class ScenarioRunner implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ScenarioRunner.class);

    /** The machine stood still where a short sleep took this much longer (microseconds). */
    private static final long STALL_CHECK_MICROS = 5_000, STALL_THRESHOLD_MICROS = 15_000;

    private static final long SERVICE_SAMPLE_MICROS = 100_000;

    /** How many samples make the last second. */
    private static final int SERVICE_SAMPLES = 10;

    private final Scenario scenario;
    private final ExecutionEnvironment environment;
    private final Supplier<Scheduler> schedulerOverride;
    private final boolean isDirect;
    private final Path consoleTokens;

    /** Plans as they are now; where their limits change, initiators follow a file. */
    private final List<ServicePlan> plans = new ArrayList<>();

    private volatile InitiatorConfig.FleetFile fleetFile;
    private final Recorder recorder;
    private final Path folder;
    private final ScheduledExecutorService executor;
    private final SplittableRandom random;
    private final Discovery discovery;

    /** By shard: who holds it now. */
    private final List<Target> targets = new ArrayList<>();

    private final List<Target> replacedTargets = new ArrayList<>();
    private final Map<String, Long> startedAtMicros = new ConcurrentHashMap<>();
    private final Map<String, DeduplicationCache> deduplicationCaches = new HashMap<>();
    private final Initiator[] initiators;
    private final int[] ports;
    private final boolean[] isRunning;
    private final LoadGenerator loadGenerator;
    private final List<String> volumes = new ArrayList<>();
    private volatile boolean isFinished;

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
        this.schedulerOverride = instead;
        this.environment = world;
        rejectSimulationOnlyScenario(scenario);
        executor = world.newTimerExecutor("clockwork", 3);
        this.consoleTokens = consoleTokens;
        this.scenario = scenario;
        this.isDirect = straight;
        random = new SplittableRandom(scenario.seed());
        recorder = recording == null ? null : new Recorder(recording, world::monotonicMicros);
        folder = Files.createTempDirectory("milletyoke-rehearsal");
        plans.addAll(scenario.planLoads().stream().map(Scenario.PlanLoad::plan).toList());
        fleetFile =
                scenario.faults().stream()
                                .anyMatch(fault -> fault.type() == Scenario.FaultType.LIMIT)
                        ? writeFleet()
                        : null;
        note("stage", Note.Kind.RULES, rules(), 0);
        initiators = new Initiator[straight ? 0 : scenario.initiators()];
        ports = new int[initiators.length];
        isRunning = new boolean[initiators.length];
        discovery = new Discovery(0, random.nextLong(), executor, observer("discovery"), world);
        discovery.setUpdateLag(
                scenario.fleet().endpointListLagMicros()[0],
                scenario.fleet().endpointListLagMicros()[1]);
        for (int shard = 0; shard < scenario.fleet().targets(); shard++) {
            Target target = target("t" + (shard + 1), shard);
            target.start(false);
            targets.add(target);
            discovery.update(entry(target, Health.ACTIVE));
        }
        for (int i = 0; i < initiators.length; i++) {
            startInitiator(i);
        }
        loadGenerator =
                new LoadGenerator(
                        demand(), straight, random.nextLong(), executor, observer("client"), world);
        for (int i = 0; i < initiators.length; i++) {
            loadGenerator.addServer("127.0.0.1", ports[i]);
        }
        if (straight) {
            targets.forEach(t -> loadGenerator.addServer("127.0.0.1", t.port()));
        }
        if (!world.isVirtual()) {
            Thread naps = new Thread(this::detectMachineStalls, "naps");
            naps.setDaemon(true);
            naps.start();
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

    private FrameObserver observer(String witness) {
        return recorder == null ? FrameObserver.NONE : recorder.observer(witness);
    }

    private void note(String who, Note.Kind kind, String text, double figure) {
        if (recorder != null) {
            recorder.note(who, kind, text, figure);
        }
    }

    private void detectMachineStalls() {
        long last = environment.monotonicMicros();
        while (!isFinished) {
            LockSupport.parkNanos(STALL_CHECK_MICROS * 1000);
            long now = environment.monotonicMicros();
            if (now - last > STALL_CHECK_MICROS + STALL_THRESHOLD_MICROS) {
                note("machine", Note.Kind.STALLED, "", now - last);
            }
            last = now;
        }
    }

    // ---- Who is there ----

    private String zone(int shard) {
        return "zone-" + (1 + shard % scenario.fleet().zones());
    }

    private Target target(String id, int shard) {
        Scenario.Fleet f = scenario.fleet();
        double speed =
                f.coreSpeeds()[0] + random.nextDouble() * (f.coreSpeeds()[1] - f.coreSpeeds()[0]);
        Scenario.RuleBounds b = scenario.ruleBounds();
        TargetBehavior behavior =
                new TargetBehavior(
                        f.cores(),
                        speed,
                        f.unitMicros(),
                        f.queueCapacity(),
                        f.maxConnections(),
                        f.rememberedExtents(),
                        f.rememberedExtentSaving(),
                        f.deferredWriteFraction(),
                        f.deferredWorkPeriodMicros(),
                        f.pausePeriodMicros(),
                        f.pauseMicros(),
                        b.initialCapacityFraction(),
                        b.warmUpMicros(),
                        b.overloadFactor(),
                        b.overloadWindowMicros(),
                        f.reportsLoad(),
                        f.dropsCancelled(),
                        f.queueingPenalty(),
                        f.connectionSetupMicros(),
                        f.warmUpUnits(),
                        f.workDistribution());
        return new Target(
                id,
                shard,
                behavior,
                random.nextLong(),
                executor,
                category -> deduplicationCaches(category, shard),
                observer(id),
                this::note,
                environment);
    }

    /**
     * The marks that the target of a shard shares with its group; null where repeats are not
     * dropped.
     */
    private synchronized DeduplicationCache deduplicationCaches(String category, int shard) {
        for (RequestClass c : scenario.requestClasses()) {
            if (c.name().equals(category) && c.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                String group =
                        c.deduplicationScope() == DeduplicationScope.ALL
                                ? "all"
                                : c.deduplicationScope() == DeduplicationScope.ZONE
                                        ? zone(shard)
                                        : "cell" + shard;
                return deduplicationCaches.computeIfAbsent(
                        category + " " + group,
                        g -> new DeduplicationCache(c.deduplicationWindowMicros()));
            }
        }
        return null;
    }

    private milletyoke.wire.proto.Target entry(Target target, Health health) {
        return Discovery.entry(
                target,
                zone(target.shard()),
                health,
                startedAtMicros.getOrDefault(target.id(), 0L));
    }

    private void startInitiator(int i) throws IOException {
        String name = "initiator-" + (i + 1);
        InitiatorConfig setup =
                new InitiatorConfig(
                        name,
                        i + 1,
                        new Address("127.0.0.1", ports[i]),
                        new Address("127.0.0.1", discovery.port()),
                        folder.resolve(name),
                        fleetFile == null
                                ? scenario.deployment()
                                : FleetConverter.deployment(fleetFile.fleet()),
                        new InitiatorConfig.Transport(
                                250_000,
                                30_000_000,
                                4,
                                100,
                                250_000,
                                1 << 20,
                                8L << 20,
                                5_000_000,
                                2),
                        new InitiatorConfig.CapacityLimits(
                                scenario.maxPendingRequests(),
                                environment.isVirtual() ? 1 << 12 : 1 << 16,
                                1 << 16,
                                1e6,
                                3_600_000_000L),
                        consoleTokens == null
                                ? null
                                : new InitiatorConfig.Console(
                                        new Address("127.0.0.1", 0), consoleTokens, 1000),
                        fleetFile);
        note(name, Note.Kind.STARTED, "initiator", 0);
        try {
            initiators[i] =
                    Initiator.start(
                            setup, observer(name), environment, nextSeed(), schedulerOverride);
        } catch (ConfigException bad) {
            throw new IOException(bad.getMessage(), bad);
        }
        ports[i] = initiators[i].port();
        isRunning[i] = true;
    }

    /**
     * Volumes of each plan, with data on one to four targets and a leading initiator each, drawn
     * from the seed.
     */
    private LoadProfile demand() throws IOException {
        SplittableRandom draw = new SplittableRandom(scenario.seed());
        List<LoadProfile.RequestClass> kinds = new ArrayList<>();
        double shares = scenario.classLoads().stream().mapToDouble(Scenario.ClassLoad::share).sum();
        for (int k = 0; k < scenario.classLoads().size(); k++) {
            Scenario.ClassLoad kind = scenario.classLoads().get(k);
            RequestClass c = scenario.requestClasses().get(k);
            kinds.add(
                    new LoadProfile.RequestClass(
                            c.name(),
                            kind.share() / shares,
                            kind.minUnits(),
                            kind.maxUnits(),
                            kind.isWrite(),
                            c.keyOrdered(),
                            Scenario.clientIdempotency(c),
                            c.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                    && c.deduplicationScope() == DeduplicationScope.ALL,
                            c.latencyObjectiveMicros(),
                            kind.deadlineMicros(),
                            c.priorityWeight(),
                            kind.isNewObject()));
        }
        List<LoadProfile.Volume> all = new ArrayList<>();
        double parts = scenario.planLoads().stream().mapToDouble(Scenario.PlanLoad::share).sum();
        for (Scenario.PlanLoad plan : scenario.planLoads()) {
            for (int v = 0; v < plan.volumes(); v++) {
                String name = plan.plan().name() + "-" + (v + 1);
                volumes.add(name);
                all.add(
                        new LoadProfile.Volume(
                                name,
                                plan.plan().name(),
                                plan.share() / parts / plan.volumes(),
                                some(draw, scenario.fleet().targets(), 1 + draw.nextInt(4)),
                                some(draw, scenario.initiators(), plan.hosts())));
            }
        }
        Scenario.Load l = scenario.load();
        List<LoadProfile.TracedRequest> trace =
                l.captureFiles().isEmpty()
                        ? List.of()
                        : CapturedLoad.of(scenario, kinds, all, volumes);
        return new LoadProfile(
                l.requestsPerSecond(),
                kinds,
                all,
                l.retries(),
                l.retryDelayMicros(),
                l.shortDeadlineFraction(),
                l.shortDeadlineMicros()[0],
                l.shortDeadlineMicros()[1],
                l.cancelFraction(),
                scenario.ruleBounds().responseSlackMicros(),
                l.closedLoopClients(),
                l.thinkTimeMicros(),
                trace);
    }

    private static List<Integer> some(SplittableRandom draw, int of, int most) {
        if (of > 64
                && most < of / 8) { // for a hundred thousand volumes it would be much to shuffle
            // all for each
            Set<Integer> few = new LinkedHashSet<>();
            while (few.size() < most) {
                few.add(draw.nextInt(of));
            }
            return List.copyOf(few);
        }
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(draw.nextLong()));
        return List.copyOf(all.subList(0, Math.min(of, most)));
    }

    private String rules() {
        List<Map<String, Object>> categories = new ArrayList<>();
        for (RequestClass c : scenario.requestClasses()) {
            categories.add(
                    Map.of(
                            "name",
                            c.name(),
                            "repeats",
                            c.idempotency().keyword().replace('-', '_'),
                            "group",
                            c.deduplicationScope().name().toLowerCase(Locale.ROOT),
                            "window",
                            c.deduplicationWindowMicros(),
                            "ordered",
                            c.keyOrdered()));
        }
        List<Map<String, Object>> plans = new ArrayList<>();
        this.plans.forEach(
                p ->
                        plans.add(
                                Map.of(
                                        "name",
                                        p.name(),
                                        "rate",
                                        p.limitRate(),
                                        "depth",
                                        p.limitBurst(),
                                        "slack",
                                        p.limitSlack())));
        Scenario.RuleBounds b = scenario.ruleBounds();
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("categories", categories);
        all.put("plans", plans);
        all.put("maxRelays", scenario.capabilities().maxAttempts());
        all.put("answerSlack", b.responseSlackMicros());
        all.put("drainGrace", b.drainGraceMicros());
        all.put("keyQuiet", b.keyQuietMicros());
        all.put("cold", b.warmUpMicros());
        all.put("coldShare", b.initialCapacityFraction());
        all.put("fall", b.overloadWindowMicros());
        all.put("tip", b.overloadFactor());
        all.put("budgetFree", b.retryBudgetMinimum());
        all.put("budgetShare", b.retryBudgetFraction());
        all.put("budgetSpan", b.retryBudgetWindowMicros());
        try {
            return new ObjectMapper().writeValueAsString(all);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** Initiators by number from 0, as they are now. */
    public Initiator initiator(int i) {
        return initiators[i];
    }

    /**
     * Keeps the traffic that comes in at each initiator that runs now, in files of their names; for
     * replay.
     */
    public void capture(Path to) throws IOException {
        Files.createDirectories(to);
        for (Initiator i : initiators) {
            i.captureTo(to.resolve(i.name() + ".traffic"));
        }
    }

    // ---- The day ----

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
        scenario.faults().forEach(this::arrange);
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
        for (int n = 0; n < initiators.length; n++) {
            Initiator i = initiators[n];
            if (isRunning[n]) {
                var p = i.eventLoop().snapshot();
                clean &= i.shutDown(longest / 1000 + 1_000);
                counts.add(
                        String.format(
                                "%s: %s; turns p50 %d us, p99 %d us; pictures take %.2f%% of the loop's time",
                                i.name(),
                                i.counts(),
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
                Stream.concat(targets.stream(), replacedTargets.stream())
                        .mapToDouble(Target::warmUpBudgetUsed)
                        .max()
                        .orElse(0));
    }

    private static long cpu() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private void arrange(Fault fault) {
        if (fault.belowServiceLevel() > 0) {
            schedule(
                    fault.atMicros(),
                    () -> {
                        Deque<PriorityWeights> samples = new ArrayDeque<>();
                        samples.addLast(loadGenerator.serviceLevels().priorityWeights());
                        awaitServiceBelow(fault, samples);
                    });
            return;
        }
        schedule(
                fault.atMicros(),
                () -> {
                    LOG.info("fault injected type={}", fault.type());
                    strike(fault);
                });
    }

    /**
     * Starts a fault once the service level of the last second is below the fault's bound.
     *
     * @param samples sums of the last second at most, oldest first
     */
    private void awaitServiceBelow(Fault fault, Deque<PriorityWeights> samples) {
        schedule(
                SERVICE_SAMPLE_MICROS,
                () -> {
                    PriorityWeights now = loadGenerator.serviceLevels().priorityWeights();
                    PriorityWeights oldest = samples.getFirst();
                    double due = now.due() - oldest.due();
                    double serviceLevel = (now.inTime() - oldest.inTime()) / due;
                    if (samples.size() == SERVICE_SAMPLES
                            && due > 0
                            && serviceLevel < fault.belowServiceLevel()) {
                        LOG.info(
                                "fault injected type={} serviceLevel={}",
                                fault.type(),
                                serviceLevel);
                        strike(fault);
                        return;
                    }
                    samples.addLast(now);
                    if (samples.size() > SERVICE_SAMPLES) {
                        samples.removeFirst();
                    }
                    awaitServiceBelow(fault, samples);
                });
    }

    private interface Task {
        void run() throws Exception;
    }

    private void schedule(long micros, Task task) {
        executor.schedule(
                () -> {
                    if (isFinished) {
                        return;
                    }
                    try {
                        task.run();
                    } catch (Exception failed) {
                        LOG.error("a trouble could not be played", failed);
                        note(
                                "stage",
                                Note.Kind.OTHER,
                                "a trouble could not be played: " + failed,
                                0);
                    }
                },
                micros,
                TimeUnit.MICROSECONDS);
    }

    private List<Integer> select(Scenario.Selection whom, int of) {
        if (whom.number() > 0) {
            return List.of(whom.number() - 1);
        }
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(nextSeed()));
        return all.subList(0, Math.max(1, (int) Math.round(whom.part() * of)));
    }

    private synchronized long nextSeed() {
        return random.nextLong();
    }

    private List<Target> selectTargets(Fault fault) {
        synchronized (targets) {
            return select(fault.selection(), targets.size()).stream().map(targets::get).toList();
        }
    }

    private void strike(Fault fault) throws Exception {
        switch (fault.type()) {
            case HANG -> applyForDuration(fault, x -> x.setHanging(true), x -> x.setHanging(false));
            case UNREACHABLE ->
                    applyForDuration(
                            fault,
                            x -> {
                                x.setRefusingConnections(true);
                                x.resetConnections();
                            },
                            x -> x.setRefusingConnections(false));
            case SLOW ->
                    applyForDuration(
                            fault,
                            x -> x.setSlowdownFactor(fault.magnitude()),
                            x -> x.setSlowdownFactor(1));
            case PAUSES ->
                    applyForDuration(
                            fault,
                            x ->
                                    x.setPauses(
                                            fault.intervalMicros(),
                                            fault.range()[0],
                                            fault.range()[1]),
                            x -> x.setPauses(0, 0, 0));
            case ERRORS ->
                    applyForDuration(
                            fault,
                            x -> x.setErrorFraction(fault.magnitude()),
                            x -> x.setErrorFraction(0));
            case LOST ->
                    applyForDuration(
                            fault,
                            x -> x.setDroppedReplyFraction(fault.magnitude()),
                            x -> x.setDroppedReplyFraction(0));
            case RESETS -> {
                List<Target> whom = selectTargets(fault);
                for (long in = 0; in < fault.durationMicros(); in += fault.intervalMicros()) {
                    schedule(in, () -> whom.forEach(Target::resetConnections));
                }
            }
            case RESTART -> selectTargets(fault).forEach(x -> restart(x, between(fault.range())));
            case ROLL -> roll(fault);
            case DRAIN ->
                    applyForDuration(
                            fault,
                            x -> discovery.scheduleUpdate(entry(x, Health.DRAINING)),
                            x -> discovery.scheduleUpdate(entry(x, Health.ACTIVE)));
            case AGE -> age(fault);
            case LIST_LATE -> {
                discovery.setUpdateLag(fault.range()[0], fault.range()[1]);
                long[] usual = scenario.fleet().endpointListLagMicros();
                schedule(fault.durationMicros(), () -> discovery.setUpdateLag(usual[0], usual[1]));
            }
            case LIST_PARTIAL -> {
                Set<String> hidden = new LinkedHashSet<>();
                selectTargets(fault).forEach(x -> hidden.add(x.id()));
                discovery.hide(hidden);
                schedule(fault.durationMicros(), () -> discovery.hide(Set.of()));
            }
            case LIST_UNAVAILABLE -> {
                discovery.setUnavailable(true);
                schedule(fault.durationMicros(), () -> discovery.setUnavailable(false));
            }
            case LIST_FLAP -> flap(fault);
            case PARTITION -> partition(fault);
            case CLOCK -> environment.adjustWallClock(fault.durationMicros());
            case KILL -> selectInitiators(fault).forEach(i -> kill(i, between(fault.range())));
            case LEAVE -> selectInitiators(fault).forEach(i -> leave(i, between(fault.range())));
            case STILL ->
                    selectInitiators(fault)
                            .forEach(
                                    i ->
                                            initiators[i].stall(
                                                    fault.durationMicros() / 1000,
                                                    () ->
                                                            note(
                                                                    "initiator-" + (i + 1),
                                                                    Note.Kind.STALLED,
                                                                    "",
                                                                    fault.durationMicros())));
            case SURGE -> {
                Set<String> whom = new LinkedHashSet<>();
                select(new Scenario.Selection(1, 0), volumes.size()).stream()
                        .limit(fault.count())
                        .forEach(v -> whom.add(volumes.get(v)));
                loadGenerator.setSurge(whom, fault.magnitude());
                schedule(fault.durationMicros(), () -> loadGenerator.setSurge(Set.of(), 0));
            }
            case HOTKEY -> {
                loadGenerator.setHotKeyFraction(fault.magnitude());
                schedule(fault.durationMicros(), () -> loadGenerator.setHotKeyFraction(0));
            }
            case LIMIT -> changeLimit(fault);
            case RECONNECT -> {
                note("client", Note.Kind.OTHER, "clients reconnect", 0);
                loadGenerator.reconnect();
            }
        }
    }

    private long between(long[] range) {
        return range[0]
                + (range[1] > range[0] ? Math.floorMod(nextSeed(), range[1] - range[0]) : 0);
    }

    private List<Integer> selectInitiators(Fault fault) {
        return select(fault.selection(), initiators.length).stream()
                .filter(i -> initiators.length > 0)
                .toList();
    }

    /** Shown and hidden in turn, shown at the end. */
    private void flap(Fault fault) {
        Set<String> some = new LinkedHashSet<>();
        selectTargets(fault).forEach(x -> some.add(x.id()));
        boolean hide = true;
        for (long in = 0; in < fault.durationMicros(); in += fault.intervalMicros()) {
            Set<String> next = hide ? some : Set.of();
            schedule(in, () -> discovery.hide(next));
            hide = !hide;
        }
        schedule(fault.durationMicros(), () -> discovery.hide(Set.of()));
    }

    private void partition(Fault fault) {
        List<Integer> shards =
                select(new Scenario.Selection(fault.magnitude(), fault.count()), targets.size());
        for (int i : selectInitiators(fault)) {
            String one = "initiator-" + (i + 1);
            for (int shard : shards) {
                String other = targets.get(shard).id();
                boolean work = (fault.intervalMicros() & Scenario.GREY) != 0;
                environment.partition(one, other, work, fault.durationMicros());
                if ((fault.intervalMicros() & Scenario.ONE_WAY) == 0) {
                    environment.partition(other, one, work, fault.durationMicros());
                }
            }
        }
    }

    // ---- Limits that change in service ----

    /**
     * The deployment in the configuration language, written aside and renamed as a careful operator
     * would.
     */
    private InitiatorConfig.FleetFile writeFleet() throws IOException {
        SchedulerSettings p = scenario.deployment().scheduler();
        DeploymentSettings now =
                new DeploymentSettings(
                        new SchedulerSettings(
                                p.initiatorCount(),
                                p.requestClasses(),
                                List.copyOf(plans),
                                p.capabilities(),
                                p.limits(),
                                p.mustWatchEndpoints()),
                        scenario.deployment().responseSlackMicros(),
                        scenario.deployment().drainGraceMicros());
        Path file = folder.resolve("main.fleet");
        Path aside = folder.resolve("main.fleet.new");
        Files.writeString(aside, FleetConverter.text(now));
        Files.move(
                aside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        String name = ConfigWatcher.name(file);
        Checker.Result checked = Checker.check(new FileSourceProvider(), name);
        if (!checked.isValid()) {
            throw new IOException(
                    "the day cannot be told in the language: " + checked.diagnostics());
        }
        return new InitiatorConfig.FleetFile(name, checked.fleet(), checked.files());
    }

    private synchronized void changeLimit(Fault fault) throws IOException {
        plans.replaceAll(
                p ->
                        p.name().equals(fault.name())
                                ? new ServicePlan(
                                        p.name(),
                                        p.reservationRate(),
                                        p.weight(),
                                        fault.magnitude(),
                                        fault.range()[0],
                                        fault.range()[1])
                                : p);
        fleetFile = writeFleet(); // who starts from now on reads this one
        note("stage", Note.Kind.RULES, rules(), 0);
    }

    private void applyForDuration(Fault fault, Consumer<Target> begins, Consumer<Target> ends) {
        List<Target> whom = selectTargets(fault);
        whom.forEach(begins);
        schedule(fault.durationMicros(), () -> whom.forEach(ends));
    }

    private void restart(Target target, long down) {
        target.kill();
        discovery.scheduleUpdate(entry(target, Health.REMOVED));
        schedule(
                down,
                () -> {
                    startedAtMicros.put(target.id(), discovery.wallClockMicros());
                    target.start(true);
                    discovery.scheduleUpdate(entry(target, Health.ACTIVE));
                });
    }

    /**
     * One after another is told to drain, its successor under a new id starts cold, and then it
     * goes.
     */
    private void roll(Fault fault) {
        List<Target> whom = selectTargets(fault);
        for (int i = 0; i < whom.size(); i++) {
            Target old = whom.get(i);
            schedule(
                    fault.durationMicros() * i / whom.size(),
                    () -> {
                        discovery.scheduleUpdate(entry(old, Health.DRAINING));
                        Target next = target(old.id() + "n", old.shard());
                        startedAtMicros.put(next.id(), discovery.wallClockMicros());
                        next.start(true);
                        discovery.scheduleUpdate(entry(next, Health.ACTIVE));
                        synchronized (targets) {
                            targets.set(old.shard(), next);
                            replacedTargets.add(old);
                        }
                        if (isDirect) {
                            loadGenerator.moveServer(old.shard(), next.port());
                        }
                        schedule(
                                fault.downtimeMicros()
                                        + scenario.fleet().endpointListLagMicros()[1],
                                () -> {
                                    old.kill();
                                    discovery.scheduleUpdate(entry(old, Health.REMOVED));
                                });
                    });
        }
    }

    /** Grows slower in ten steps, then is gone and comes back cold. */
    private void age(Fault fault) {
        List<Target> whom = selectTargets(fault);
        for (int step = 1; step <= 10; step++) {
            double factor = 1 + (fault.magnitude() - 1) * step / 10;
            schedule(
                    fault.durationMicros() * step / 10,
                    () -> whom.forEach(x -> x.setSlowdownFactor(factor)));
        }
        schedule(
                fault.durationMicros(),
                () ->
                        whom.forEach(
                                x -> {
                                    x.setSlowdownFactor(1);
                                    restart(x, fault.downtimeMicros());
                                }));
    }

    private void kill(int i, long down) {
        if (!isRunning[i]) {
            return;
        }
        isRunning[i] = false;
        note("initiator-" + (i + 1), Note.Kind.KILLED, "", 0);
        initiators[i].kill();
        schedule(down, () -> startInitiator(i));
    }

    private void leave(int i, long down) {
        if (!isRunning[i]) {
            return;
        }
        isRunning[i] = false;
        note("initiator-" + (i + 1), Note.Kind.SHUTTING_DOWN, "", 0);
        initiators[i].beginShutdown(30_000, () -> schedule(down, () -> startInitiator(i)));
    }

    @Override
    public void close() throws IOException {
        isFinished = true;
        loadGenerator.abort();
        executor.shutdownNow();
        for (Initiator i : initiators) {
            if (i != null) {
                i.kill();
            }
        }
        Stream.concat(targets.stream(), replacedTargets.stream()).forEach(Target::kill);
        discovery.stop();
        if (recorder != null) {
            recorder.close();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
