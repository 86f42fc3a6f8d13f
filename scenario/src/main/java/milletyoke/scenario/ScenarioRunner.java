package milletyoke.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
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
    private static final long NAP = 5_000, STOOD = 15_000;

    private final Scenario day;
    private final ExecutionEnvironment world;
    private final Supplier<Scheduler> instead;
    private final boolean straight;
    private final Path consoleTokens;

    /** Plans as they are now; where their limits change, initiators follow a file. */
    private final List<ServicePlan> plans = new ArrayList<>();

    private volatile InitiatorConfig.FleetFile fleetFile;
    private final Recorder recorder;
    private final Path folder;
    private final ScheduledExecutorService clockwork;
    private final SplittableRandom chance;
    private final Discovery discovery;

    /** By shard: who holds it now. */
    private final List<Target> targets = new ArrayList<>();

    private final List<Target> replaced = new ArrayList<>();
    private final Map<String, Long> launched = new ConcurrentHashMap<>();
    private final Map<String, DeduplicationCache> marks = new HashMap<>();
    private final Initiator[] initiators;
    private final int[] ports;
    private final boolean[] running;
    private final LoadGenerator clients;
    private final List<String> volumes = new ArrayList<>();
    private volatile boolean over;

    /**
     * What came of it.
     *
     * @param unfinished tries still without an answer when all should have had one
     * @param cpuMicros of this process, for each access asked
     * @param warmUpBudgetUsed the largest part of what a cold target bears that any was sent
     */
    public record ScenarioResult(
            ServiceLevelRecorder service,
            long unfinished,
            double cpuMicros,
            List<String> counts,
            boolean isShutdownClean,
            double warmUpBudgetUsed) {}

    /**
     * Sets the stage; nothing is asked yet.
     *
     * @param recording where what the sockets saw is written; null for nowhere
     * @param straight clients go straight to the targets, for comparison; there are no initiators
     *     then
     */
    public ScenarioRunner(Scenario day, Path recording, boolean straight) throws IOException {
        this(day, recording, straight, null);
    }

    /**
     * @param consoleTokens who may look at the initiators' consoles, null for no consoles
     */
    public ScenarioRunner(Scenario day, Path recording, boolean straight, Path consoleTokens)
            throws IOException {
        this(day, recording, straight, consoleTokens, new SocketEnvironment(), null);
    }

    /**
     * @param world that the day is played in; where it is virtual, nobody looks at consoles
     * @param instead of the product's decisions, for comparison; null for these
     */
    public ScenarioRunner(
            Scenario day,
            Path recording,
            boolean straight,
            Path consoleTokens,
            ExecutionEnvironment world,
            Supplier<Scheduler> instead)
            throws IOException {
        this.instead = instead;
        this.world = world;
        refuseWhatSocketsCannot(day);
        clockwork = world.newTimerExecutor("clockwork", 3);
        this.consoleTokens = consoleTokens;
        this.day = day;
        this.straight = straight;
        chance = new SplittableRandom(day.seed());
        recorder = recording == null ? null : new Recorder(recording, world::monotonicMicros);
        folder = Files.createTempDirectory("milletyoke-rehearsal");
        plans.addAll(day.plans().stream().map(Scenario.PlanOf::plan).toList());
        fleetFile =
                day.faults().stream().anyMatch(t -> t.type() == Scenario.FaultType.LIMIT)
                        ? writeFleet()
                        : null;
        note("stage", Note.Kind.RULES, rules(), 0);
        initiators = new Initiator[straight ? 0 : day.initiators()];
        ports = new int[initiators.length];
        running = new boolean[initiators.length];
        discovery = new Discovery(0, chance.nextLong(), clockwork, tap("discovery"), world);
        discovery.lag(day.fleet().listLag()[0], day.fleet().listLag()[1]);
        for (int shard = 0; shard < day.fleet().targets(); shard++) {
            Target target = target("t" + (shard + 1), shard);
            target.start(false);
            targets.add(target);
            discovery.add(entry(target, Health.ACTIVE));
        }
        for (int i = 0; i < initiators.length; i++) {
            startInitiator(i);
        }
        clients =
                new LoadGenerator(
                        demand(), straight, chance.nextLong(), clockwork, tap("client"), world);
        for (int i = 0; i < initiators.length; i++) {
            clients.addInitiator(initiators[i].name(), "127.0.0.1", ports[i]);
        }
        if (straight) {
            targets.forEach(t -> clients.addInitiator(t.id(), "127.0.0.1", t.port()));
        }
        if (!world.isVirtual()) {
            Thread naps = new Thread(this::watchForStandstill, "naps");
            naps.setDaemon(true);
            naps.start();
        }
    }

    private void refuseWhatSocketsCannot(Scenario day) throws IOException {
        if (!world.isVirtual()) {
            for (Fault t : day.faults()) {
                if (t.type().virtual()) {
                    throw new IOException(
                            day.name()
                                    + ":"
                                    + t.line()
                                    + ": a "
                                    + t.type().name().toLowerCase(Locale.ROOT)
                                    + " is played in the lab alone: bin/milletyoke lab play");
                }
            }
            if (day.initiators() > 100 || day.fleet().targets() > 1000) {
                throw new IOException(
                        day.name()
                                + ": up to 100 initiators and 1000 targets are played on sockets, not "
                                + day.initiators()
                                + " and "
                                + day.fleet().targets()
                                + "; the lab plays more: bin/milletyoke lab play");
            }
        }
    }

    private FrameObserver tap(String witness) {
        return recorder == null ? FrameObserver.NONE : recorder.observer(witness);
    }

    private void note(String who, Note.Kind kind, String text, double figure) {
        if (recorder != null) {
            recorder.note(who, kind, text, figure);
        }
    }

    private void watchForStandstill() {
        long last = world.monotonicMicros();
        while (!over) {
            LockSupport.parkNanos(NAP * 1000);
            long now = world.monotonicMicros();
            if (now - last > NAP + STOOD) {
                note("machine", Note.Kind.STALLED, "", now - last);
            }
            last = now;
        }
    }

    // ---- Who is there ----

    private String zone(int shard) {
        return "zone-" + (1 + shard % day.fleet().zones());
    }

    private Target target(String id, int shard) {
        Scenario.Fleet f = day.fleet();
        double speed = f.speeds()[0] + chance.nextDouble() * (f.speeds()[1] - f.speeds()[0]);
        Scenario.BoundsOf b = day.bounds();
        TargetBehavior nature =
                new TargetBehavior(
                        f.cores(),
                        speed,
                        f.unit(),
                        f.room(),
                        f.connections(),
                        f.extents(),
                        f.extentSaves(),
                        f.putOff(),
                        f.putOffEvery(),
                        f.pauseEvery(),
                        f.pause(),
                        b.coldShare(),
                        b.cold(),
                        b.tipMultiple(),
                        b.fall(),
                        f.tells(),
                        f.dropsCancelled(),
                        f.crowd(),
                        f.connecting(),
                        f.warmUnits(),
                        f.work());
        return new Target(
                id,
                shard,
                nature,
                chance.nextLong(),
                clockwork,
                category -> marks(category, shard),
                tap(id),
                this::note,
                world);
    }

    /**
     * The marks that the target of a shard shares with its group; null where repeats are not
     * dropped.
     */
    private synchronized DeduplicationCache marks(String category, int shard) {
        for (RequestClass c : day.categories()) {
            if (c.name().equals(category) && c.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                String group =
                        c.deduplicationScope() == DeduplicationScope.ALL
                                ? "all"
                                : c.deduplicationScope() == DeduplicationScope.ZONE
                                        ? zone(shard)
                                        : "cell" + shard;
                return marks.computeIfAbsent(
                        category + " " + group,
                        g -> new DeduplicationCache(c.deduplicationWindowMicros()));
            }
        }
        return null;
    }

    private milletyoke.wire.proto.Target entry(Target target, Health health) {
        return Discovery.entry(
                target, zone(target.shard()), health, launched.getOrDefault(target.id(), 0L));
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
                                ? day.deployment()
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
                                day.held(),
                                world.isVirtual() ? 1 << 12 : 1 << 16,
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
            initiators[i] = Initiator.start(setup, tap(name), world, draw(), instead);
        } catch (ConfigException bad) {
            throw new IOException(bad.getMessage(), bad);
        }
        ports[i] = initiators[i].port();
        running[i] = true;
    }

    /**
     * Volumes of each plan, with data on one to four targets and a leading initiator each, drawn
     * from the seed.
     */
    private LoadProfile demand() throws IOException {
        SplittableRandom draw = new SplittableRandom(day.seed());
        List<LoadProfile.RequestClass> kinds = new ArrayList<>();
        double shares = day.kinds().stream().mapToDouble(Scenario.Kind::share).sum();
        for (int k = 0; k < day.kinds().size(); k++) {
            Scenario.Kind kind = day.kinds().get(k);
            RequestClass c = day.categories().get(k);
            kinds.add(
                    new LoadProfile.RequestClass(
                            c.name(),
                            kind.share() / shares,
                            kind.leastUnits(),
                            kind.mostUnits(),
                            kind.write(),
                            c.keyOrdered(),
                            Scenario.repeats(c),
                            c.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                    && c.deduplicationScope() == DeduplicationScope.ALL,
                            c.latencyObjectiveMicros(),
                            kind.abandon(),
                            c.priorityWeight(),
                            kind.anywhere()));
        }
        List<LoadProfile.Volume> all = new ArrayList<>();
        double parts = day.plans().stream().mapToDouble(Scenario.PlanOf::share).sum();
        for (Scenario.PlanOf plan : day.plans()) {
            for (int v = 0; v < plan.volumes(); v++) {
                String name = plan.plan().name() + "-" + (v + 1);
                volumes.add(name);
                all.add(
                        new LoadProfile.Volume(
                                name,
                                plan.plan().name(),
                                plan.share() / parts / plan.volumes(),
                                some(draw, day.fleet().targets(), 1 + draw.nextInt(4)),
                                some(draw, day.initiators(), plan.hosts())));
            }
        }
        Scenario.Load l = day.load();
        List<LoadProfile.TracedRequest> trace =
                l.traffic().isEmpty() ? List.of() : CapturedLoad.of(day, kinds, all, volumes);
        return new LoadProfile(
                l.rate(),
                kinds,
                all,
                l.retries(),
                l.retryWait(),
                l.impatient(),
                l.littleTime()[0],
                l.littleTime()[1],
                l.vanish(),
                day.bounds().answerSlack(),
                l.closed(),
                l.think(),
                trace);
    }

    private static int[] some(SplittableRandom draw, int of, int most) {
        if (of > 64
                && most < of / 8) { // for a hundred thousand volumes it would be much to shuffle
            // all for each
            Set<Integer> few = new LinkedHashSet<>();
            while (few.size() < most) {
                few.add(draw.nextInt(of));
            }
            return few.stream().mapToInt(i -> i).toArray();
        }
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(draw.nextLong()));
        return all.subList(0, Math.min(of, most)).stream().mapToInt(i -> i).toArray();
    }

    private String rules() {
        List<Map<String, Object>> categories = new ArrayList<>();
        for (RequestClass c : day.categories()) {
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
        Scenario.BoundsOf b = day.bounds();
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("categories", categories);
        all.put("plans", plans);
        all.put("maxRelays", day.allowances().maxAttempts());
        all.put("answerSlack", b.answerSlack());
        all.put("drainGrace", b.drainGrace());
        all.put("keyQuiet", b.keyQuiet());
        all.put("cold", b.cold());
        all.put("coldShare", b.coldShare());
        all.put("fall", b.fall());
        all.put("tip", b.tipMultiple());
        all.put("budgetFree", b.budgetFree());
        all.put("budgetShare", b.budgetShare());
        all.put("budgetSpan", b.budgetSpan());
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
        if (!clients.awaitConnected(10_000)) {
            throw new IOException("the clients found no way in within 10 s");
        }
        world.sleep(300_000); // the list reaches every initiator
        long cpu = cpu();
        day.faults().forEach(this::arrange);
        clients.start();
        long start = world.monotonicMicros();
        for (long second = 1; world.monotonicMicros() < start + day.durationMicros(); second++) {
            long until = Math.min(start + second * 1_000_000, start + day.durationMicros());
            world.sleep(until - world.monotonicMicros());
            each.accept(clients.service());
        }
        before.run();
        long longest = day.kinds().stream().mapToLong(Scenario.Kind::abandon).max().orElse(0);
        int unfinished = clients.stop((longest + day.bounds().answerSlack()) / 1000 + 1_000);
        double cpuEach = (cpu() - cpu) / 1e3 / Math.max(1, clients.service().totalRequests());
        List<String> counts = new ArrayList<>();
        boolean clean = true;
        for (int n = 0; n < initiators.length; n++) {
            Initiator i = initiators[n];
            if (running[n]) {
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
                clients.service(),
                unfinished,
                cpuEach,
                counts,
                clean,
                Stream.concat(targets.stream(), replaced.stream())
                        .mapToDouble(Target::warmUpBudgetUsed)
                        .max()
                        .orElse(0));
    }

    private static long cpu() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private void arrange(Fault t) {
        if (t.under() > 0) {
            after(t.atMicros(), () -> await(t, clients.service().sums()));
            return;
        }
        after(
                t.atMicros(),
                () -> {
                    LOG.info(
                            "{} strikes",
                            t.type().name().toLowerCase(Locale.ROOT).replace('_', ' '));
                    strike(t);
                });
    }

    /** Looks ten times a second whether service of the last second is under the trouble's part. */
    private void await(Fault t, double[]... seconds) {
        after(
                100_000,
                () -> {
                    double[] now = clients.service().sums();
                    double[][] kept =
                            java.util.Arrays.copyOf(seconds, Math.min(10, seconds.length + 1));
                    System.arraycopy(seconds, 0, kept, 1, kept.length - 1);
                    kept[0] = now;
                    double[] before = seconds[seconds.length - 1];
                    double due = now[0] - before[0];
                    if (seconds.length == 10 && due > 0 && (now[1] - before[1]) / due < t.under()) {
                        LOG.info(
                                "{} strikes, service is {}",
                                t.type().name().toLowerCase(Locale.ROOT),
                                (now[1] - before[1]) / due);
                        strike(t);
                    } else {
                        await(t, kept);
                    }
                });
    }

    private interface Task {
        void run() throws Exception;
    }

    private void after(long micros, Task task) {
        clockwork.schedule(
                () -> {
                    if (over) {
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

    private List<Integer> struck(Scenario.Selection whom, int of) {
        if (whom.number() > 0) {
            return List.of(whom.number() - 1);
        }
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(draw()));
        return all.subList(0, Math.max(1, (int) Math.round(whom.part() * of)));
    }

    private synchronized long draw() {
        return chance.nextLong();
    }

    private List<Target> struckTargets(Fault t) {
        synchronized (targets) {
            return struck(t.selection(), targets.size()).stream().map(targets::get).toList();
        }
    }

    private void strike(Fault t) throws Exception {
        switch (t.type()) {
            case HANG -> span(t, x -> x.hang(true), x -> x.hang(false));
            case UNREACHABLE ->
                    span(
                            t,
                            x -> {
                                x.refuse(true);
                                x.resetConnections();
                            },
                            x -> x.refuse(false));
            case SLOW -> span(t, x -> x.slow(t.magnitude()), x -> x.slow(1));
            case PAUSES ->
                    span(
                            t,
                            x -> x.pauses(t.intervalMicros(), t.range()[0], t.range()[1]),
                            x -> x.pauses(0, 0, 0));
            case ERRORS -> span(t, x -> x.errors(t.magnitude()), x -> x.errors(0));
            case LOST -> span(t, x -> x.dropsReplies(t.magnitude()), x -> x.dropsReplies(0));
            case RESETS -> {
                List<Target> whom = struckTargets(t);
                for (long in = 0; in < t.durationMicros(); in += t.intervalMicros()) {
                    after(in, () -> whom.forEach(Target::resetConnections));
                }
            }
            case RESTART -> struckTargets(t).forEach(x -> restart(x, between(t.range())));
            case ROLL -> roll(t);
            case DRAIN ->
                    span(
                            t,
                            x -> discovery.change(entry(x, Health.DRAINING)),
                            x -> discovery.change(entry(x, Health.ACTIVE)));
            case AGE -> age(t);
            case LIST_LATE -> {
                discovery.lag(t.range()[0], t.range()[1]);
                long[] usual = day.fleet().listLag();
                after(t.durationMicros(), () -> discovery.lag(usual[0], usual[1]));
            }
            case LIST_PARTIAL -> {
                Set<String> hidden = new LinkedHashSet<>();
                struckTargets(t).forEach(x -> hidden.add(x.id()));
                discovery.hide(hidden);
                after(t.durationMicros(), () -> discovery.hide(Set.of()));
            }
            case LIST_UNAVAILABLE -> {
                discovery.unavailable(true);
                after(t.durationMicros(), () -> discovery.unavailable(false));
            }
            case LIST_FLAP -> flap(t);
            case PARTITION -> partition(t);
            case CLOCK -> world.adjustWallClock(t.durationMicros());
            case KILL -> struckInitiators(t).forEach(i -> kill(i, between(t.range())));
            case LEAVE -> struckInitiators(t).forEach(i -> leave(i, between(t.range())));
            case STILL ->
                    struckInitiators(t)
                            .forEach(
                                    i ->
                                            initiators[i].stall(
                                                    t.durationMicros() / 1000,
                                                    () ->
                                                            note(
                                                                    "initiator-" + (i + 1),
                                                                    Note.Kind.STALLED,
                                                                    "",
                                                                    t.durationMicros())));
            case SURGE -> {
                Set<String> whom = new LinkedHashSet<>();
                struck(new Scenario.Selection(1, 0), volumes.size()).stream()
                        .limit(t.count())
                        .forEach(v -> whom.add(volumes.get(v)));
                clients.surge(whom, t.magnitude());
                after(t.durationMicros(), () -> clients.surge(Set.of(), 0));
            }
            case HOTKEY -> {
                clients.hotKey(t.magnitude());
                after(t.durationMicros(), () -> clients.hotKey(0));
            }
            case LIMIT -> changeLimit(t);
            case RECONNECT -> {
                note("client", Note.Kind.OTHER, "clients reconnect", 0);
                clients.reconnect();
            }
        }
    }

    private long between(long[] range) {
        return range[0] + (range[1] > range[0] ? Math.floorMod(draw(), range[1] - range[0]) : 0);
    }

    private List<Integer> struckInitiators(Fault t) {
        return struck(t.selection(), initiators.length).stream()
                .filter(i -> initiators.length > 0)
                .toList();
    }

    /** Shown and hidden in turn, shown at the end. */
    private void flap(Fault t) {
        Set<String> some = new LinkedHashSet<>();
        struckTargets(t).forEach(x -> some.add(x.id()));
        boolean hide = true;
        for (long in = 0; in < t.durationMicros(); in += t.intervalMicros()) {
            Set<String> next = hide ? some : Set.of();
            after(in, () -> discovery.hide(next));
            hide = !hide;
        }
        after(t.durationMicros(), () -> discovery.hide(Set.of()));
    }

    private void partition(Fault t) {
        List<Integer> shards =
                struck(new Scenario.Selection(t.magnitude(), t.count()), targets.size());
        for (int i : struckInitiators(t)) {
            String one = "initiator-" + (i + 1);
            for (int shard : shards) {
                String other = targets.get(shard).id();
                boolean work = (t.intervalMicros() & Scenario.GREY) != 0;
                world.partition(one, other, work, t.durationMicros());
                if ((t.intervalMicros() & Scenario.ONE_WAY) == 0) {
                    world.partition(other, one, work, t.durationMicros());
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
        SchedulerSettings p = day.deployment().scheduler();
        DeploymentSettings now =
                new DeploymentSettings(
                        new SchedulerSettings(
                                p.initiatorCount(),
                                p.requestClasses(),
                                List.copyOf(plans),
                                p.capabilities(),
                                p.limits(),
                                p.mustWatchEndpoints()),
                        day.deployment().responseSlackMicros(),
                        day.deployment().drainGraceMicros());
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

    private synchronized void changeLimit(Fault t) throws IOException {
        plans.replaceAll(
                p ->
                        p.name().equals(t.name())
                                ? new ServicePlan(
                                        p.name(),
                                        p.reservationRate(),
                                        p.weight(),
                                        t.magnitude(),
                                        t.range()[0],
                                        t.range()[1])
                                : p);
        fleetFile = writeFleet(); // who starts from now on reads this one
        note("stage", Note.Kind.RULES, rules(), 0);
    }

    private void span(Fault t, Consumer<Target> begins, Consumer<Target> ends) {
        List<Target> whom = struckTargets(t);
        whom.forEach(begins);
        after(t.durationMicros(), () -> whom.forEach(ends));
    }

    private void restart(Target target, long down) {
        target.kill();
        discovery.change(entry(target, Health.REMOVED));
        after(
                down,
                () -> {
                    launched.put(target.id(), discovery.now());
                    target.start(true);
                    discovery.change(entry(target, Health.ACTIVE));
                });
    }

    /**
     * One after another is told to drain, its successor under a new id starts cold, and then it
     * goes.
     */
    private void roll(Fault t) {
        List<Target> whom = struckTargets(t);
        for (int i = 0; i < whom.size(); i++) {
            Target old = whom.get(i);
            after(
                    t.durationMicros() * i / whom.size(),
                    () -> {
                        discovery.change(entry(old, Health.DRAINING));
                        Target next = target(old.id() + "n", old.shard());
                        launched.put(next.id(), discovery.now());
                        next.start(true);
                        discovery.change(entry(next, Health.ACTIVE));
                        synchronized (targets) {
                            targets.set(old.shard(), next);
                            replaced.add(old);
                        }
                        if (straight) {
                            clients.moveInitiator(old.shard(), next.port());
                        }
                        after(
                                t.downtimeMicros() + day.fleet().listLag()[1],
                                () -> {
                                    old.kill();
                                    discovery.change(entry(old, Health.REMOVED));
                                });
                    });
        }
    }

    /** Grows slower in ten steps, then is gone and comes back cold. */
    private void age(Fault t) {
        List<Target> whom = struckTargets(t);
        for (int step = 1; step <= 10; step++) {
            double factor = 1 + (t.magnitude() - 1) * step / 10;
            after(t.durationMicros() * step / 10, () -> whom.forEach(x -> x.slow(factor)));
        }
        after(
                t.durationMicros(),
                () ->
                        whom.forEach(
                                x -> {
                                    x.slow(1);
                                    restart(x, t.downtimeMicros());
                                }));
    }

    private void kill(int i, long down) {
        if (!running[i]) {
            return;
        }
        running[i] = false;
        note("initiator-" + (i + 1), Note.Kind.KILLED, "", 0);
        initiators[i].kill();
        after(down, () -> startInitiator(i));
    }

    private void leave(int i, long down) {
        if (!running[i]) {
            return;
        }
        running[i] = false;
        note("initiator-" + (i + 1), Note.Kind.SHUTTING_DOWN, "", 0);
        initiators[i].beginShutdown(30_000, () -> after(down, () -> startInitiator(i)));
    }

    @Override
    public void close() throws IOException {
        over = true;
        clients.abort();
        clockwork.shutdownNow();
        for (Initiator i : initiators) {
            if (i != null) {
                i.kill();
            }
        }
        Stream.concat(targets.stream(), replaced.stream()).forEach(Target::kill);
        discovery.stop();
        if (recorder != null) {
            recorder.close();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
