package milletyoke.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings;

/**
 * A model of a fleet around one target that warms up: each initiator runs its own scheduler, and
 * the target sums what it receives from all of them. Virtual time, no sockets. Times are
 * microseconds; work is in units, of which a mean request has one.
 */
final class SlowStartFleet {
    private static final long OVERLOAD_WINDOW_MICROS = 1_000_000;
    static final long WARM_UP_MICROS = 10_000_000;
    private static final long LATENCY_OBJECTIVE_MICROS = 400_000;
    private static final long NETWORK_MICROS = 400;
    private static final long PROBE_TIMEOUT_MICROS = 250_000;
    private static final long MAX_PROBE_JITTER_MICROS = 10_000;
    private static final long MAX_CONNECT_MICROS = 1_000_000;
    private static final long DEFERRED_WORK_PERIOD_MICROS = 3_000_000;
    private static final double PROBE_UNITS = 0.01;
    private static final double OVERLOAD_FACTOR = 2;
    private static final double INITIAL_FRACTION = 0.35;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long STARTS_AT = 1_000_000;
    private static final long TARGET_STARTS_AT = STARTS_AT + 10_000_000;

    /** How the target responds to probes. */
    enum Probes {
        /** Initiators send none. */
        NONE,
        /** Probes wait in the same queue as requests. */
        QUEUED,
        /** Probes are answered at once, whatever is queued. */
        AHEAD_OF_WORK
    }

    /**
     * One simulation run.
     *
     * @param capacity of each target once warm, units per second
     * @param demand of all clients on two shards, requests per second
     * @param restarts number of initiators that restart while the target warms up
     * @param uneven whether request sizes differ and the busy initiators get two of three requests
     * @param busyInitiators number of busy initiators
     * @param timeToLiveMicros time until a client gives up
     * @param lateConnectionShare share of attempts and probes whose connection is established late
     * @param deferredShare share of the work of each request that the target defers: it responds
     *     without it, and does the deferred work of many requests together some time later
     */
    record Scenario(
            int initiators,
            double capacity,
            double demand,
            int restarts,
            Probes probes,
            boolean uneven,
            int busyInitiators,
            long timeToLiveMicros,
            double lateConnectionShare,
            double deferredShare,
            long seed) {}

    /**
     * Load of the target that warms up.
     *
     * @param excessUnits most units beyond the bound in any overload window; negative below the
     *     bound
     * @param unitsSent units sent during the whole warm-up
     */
    record Result(double excessUnits, double unitsSent) {}

    private record Task(long at, long number, Runnable action) {}

    private record Arrival(long at, double units) {}

    /** A target that serves in order of arrival, with a capacity that grows linearly. */
    private final class Target {
        private final long startedAt;
        private final ArrayDeque<Arrival> window = new ArrayDeque<>();
        private double queuedUnits;
        private double deferredUnits;
        private long deferredWorkAt;
        private long servedUntil;
        private double worstExcess = Double.NEGATIVE_INFINITY;
        private double unitsSent;

        Target(long startedAt) {
            this.startedAt = startedAt;
            servedUntil = startedAt;
            deferredWorkAt = startedAt + DEFERRED_WORK_PERIOD_MICROS;
        }

        private double capacityNow() {
            double warmed = Math.max(0, now - startedAt) / (double) WARM_UP_MICROS;
            return scenario.capacity()
                    * Math.min(1, INITIAL_FRACTION + (1 - INITIAL_FRACTION) * warmed);
        }

        /** Adds work and returns the time until it is served, microseconds. */
        long serve(double units) {
            double served = (now - servedUntil) / MICROS_PER_SECOND * capacityNow();
            queuedUnits = Math.max(0, queuedUnits - served);
            servedUntil = now;
            if (now >= deferredWorkAt) {
                queuedUnits += deferredUnits;
                deferredUnits = 0;
                deferredWorkAt = now + DEFERRED_WORK_PERIOD_MICROS;
            }
            queuedUnits += units * (1 - scenario.deferredShare());
            deferredUnits += units * scenario.deferredShare();
            return (long) (queuedUnits / capacityNow() * MICROS_PER_SECOND);
        }

        void recordArrival(double units) {
            unitsSent += units;
            window.addLast(new Arrival(now, units));
            while (window.peekFirst().at() <= now - OVERLOAD_WINDOW_MICROS) {
                window.removeFirst();
            }
            double inWindow = window.stream().mapToDouble(Arrival::units).sum();
            double budget =
                    OVERLOAD_FACTOR * capacityNow() * OVERLOAD_WINDOW_MICROS / MICROS_PER_SECOND;
            if (now < startedAt + WARM_UP_MICROS) {
                double bound = budget + 2 * Math.sqrt(budget) + 2;
                worstExcess = Math.max(worstExcess, inWindow - bound);
            }
        }
    }

    private final class Initiator {
        private final String name;
        private final SchedulerSettings settings;
        private final Map<String, Integer> attempts = new HashMap<>();
        private RequestScheduler scheduler;
        private List<Event> events = new ArrayList<>();
        private int incarnation;

        Initiator(String name, SchedulerSettings settings) {
            this.name = name;
            this.settings = settings;
        }

        void start(Event.EndpointListReceived endpoints) {
            scheduler = new RequestScheduler();
            incarnation++;
            attempts.clear();
            events = new ArrayList<>();
            events.add(new Event.Started(name.hashCode() * 31L + incarnation, settings));
            events.add(endpoints);
            handleEvents();
        }

        void receive(Event event) {
            events.add(event);
            handleEvents();
        }

        private void handleEvents() {
            while (!events.isEmpty()) {
                List<Event> batch = events;
                events = new ArrayList<>();
                scheduler.decide(now, batch).forEach(this::carryOut);
            }
        }

        /** Runs an action later, unless this initiator restarts before. */
        private void schedule(long delayMicros, Runnable action) {
            int scheduledBy = incarnation;
            at(
                    now + delayMicros,
                    () -> {
                        if (scheduledBy == incarnation) {
                            action.run();
                        }
                    });
        }

        private void carryOut(Action action) {
            if (action instanceof Action.SendAttempt attempt) {
                connectAndRun(() -> send(attempt, now), attempt);
            } else if (action instanceof Action.SendProbe probe) {
                long requestedAt = now;
                schedule(connectMicros(), () -> probe(probe, requestedAt));
            } else if (action instanceof Action.ScheduleWakeUp wakeUp) {
                schedule(wakeUp.delayMicros(), () -> receive(new Event.WakeUp()));
            }
        }

        private void connectAndRun(Runnable immediately, Action.SendAttempt attempt) {
            long delay = connectMicros();
            if (delay == 0) {
                immediately.run();
                return;
            }
            long requestedAt = now;
            schedule(delay, () -> send(attempt, requestedAt));
        }

        private void send(Action.SendAttempt attempt, long requestedAt) {
            int number = attempts.merge(attempt.id(), 1, Integer::sum) - 1;
            Target target = targets.get(attempt.target());
            double units = unitsOf.get(attempt.id());
            long responseMicros = NETWORK_MICROS + target.serve(units);
            target.recordArrival(units);
            boolean isInTime = now + responseMicros < attempt.deadlineMicros();
            long endsInMicros =
                    isInTime ? responseMicros : Math.max(0, attempt.deadlineMicros() - now);
            Outcome outcome = isInTime ? Outcome.SUCCEEDED : Outcome.TIMED_OUT;
            long latency = now - requestedAt + responseMicros;
            schedule(
                    endsInMicros,
                    () ->
                            receive(
                                    new Event.AttemptEnded(
                                            attempt.id(), number, isInTime, outcome, latency)));
        }

        private void probe(Action.SendProbe probe, long requestedAt) {
            long probeMicros =
                    scenario.probes() == Probes.AHEAD_OF_WORK
                            ? NETWORK_MICROS + random.nextLong(MAX_PROBE_JITTER_MICROS)
                            : NETWORK_MICROS + targets.get(probe.target()).serve(PROBE_UNITS);
            long latency = now - requestedAt + probeMicros;
            long endsInMicros = Math.min(probeMicros, PROBE_TIMEOUT_MICROS);
            Outcome outcome =
                    latency < PROBE_TIMEOUT_MICROS ? Outcome.SUCCEEDED : Outcome.TIMED_OUT;
            schedule(
                    endsInMicros,
                    () -> receive(new Event.ProbeEnded(probe.target(), outcome, latency, -1)));
        }
    }

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::number));
    private final Map<String, Double> unitsOf = new HashMap<>();
    private final Map<String, Target> targets = new HashMap<>();
    private final List<Initiator> initiators = new ArrayList<>();
    private final Scenario scenario;
    private final SplittableRandom random;
    private long now = STARTS_AT;
    private long lastTaskNumber;

    private SlowStartFleet(Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
    }

    /** Runs the scenario from before the start of the target to the end of its warm-up. */
    static Result run(Scenario scenario) {
        return new SlowStartFleet(scenario).run();
    }

    private void at(long time, Runnable action) {
        tasks.add(new Task(time, lastTaskNumber++, action));
    }

    /** Returns the time until a connection is established; 0 for an open one. */
    private long connectMicros() {
        boolean isLate =
                scenario.lateConnectionShare() > 0
                        && random.nextDouble() < scenario.lateConnectionShare();
        return isLate ? 1 + random.nextLong(MAX_CONNECT_MICROS) : 0;
    }

    private Result run() {
        long startedLongAgo = STARTS_AT - 2 * WARM_UP_MICROS;
        targets.put("old", new Target(startedLongAgo));
        targets.put("warm", new Target(startedLongAgo));
        Target warming = new Target(TARGET_STARTS_AT);
        targets.put("new", warming);
        startFleet();
        scheduleRequests();
        long endsAt = TARGET_STARTS_AT + WARM_UP_MICROS;
        while (!tasks.isEmpty() && tasks.peek().at() < endsAt) {
            Task next = tasks.poll();
            now = Math.max(now, next.at());
            next.action().run();
        }
        return new Result(warming.worstExcess, warming.unitsSent);
    }

    private void startFleet() {
        Event.EndpointListReceived before = endpoints("old", 0);
        Event.EndpointListReceived after = endpoints("new", TARGET_STARTS_AT);
        for (int index = 0; index < scenario.initiators(); index++) {
            Initiator initiator = new Initiator("i" + index, settings());
            initiators.add(initiator);
            initiator.start(before);
            at(
                    TARGET_STARTS_AT + 10_000 + random.nextLong(400_000),
                    () -> initiator.receive(after));
        }
        for (int index = 0; index < scenario.restarts(); index++) {
            Initiator initiator = initiators.get(index);
            at(
                    TARGET_STARTS_AT + 1_000_000 + random.nextLong(6_000_000),
                    () -> initiator.start(after));
        }
    }

    private static Event.EndpointListReceived endpoints(String firstTarget, long startedAt) {
        return new Event.EndpointListReceived(
                Event.ListScope.REPLACE,
                List.of(
                        new Event.Target(0, firstTarget, "z", Event.Health.ACTIVE, startedAt),
                        new Event.Target(1, "warm", "z", Event.Health.ACTIVE, 0)));
    }

    private void scheduleRequests() {
        long interval = (long) (MICROS_PER_SECOND / scenario.demand());
        for (long time = STARTS_AT; time < TARGET_STARTS_AT + WARM_UP_MICROS; time += interval) {
            boolean isBusy = scenario.uneven() && random.nextInt(3) > 0;
            int among = isBusy ? scenario.busyInitiators() : scenario.initiators();
            Initiator initiator = initiators.get(random.nextInt(among));
            double units = scenario.uneven() ? 0.4 + 1.2 * random.nextDouble() : 1;
            int shard = random.nextInt(2);
            at(time + random.nextLong(20_000), () -> request(initiator, shard, units));
        }
    }

    private void request(Initiator initiator, int shard, double units) {
        String id = "a" + unitsOf.size();
        unitsOf.put(id, units);
        initiator.receive(
                new Event.RequestReceived(
                        id,
                        shard,
                        "x" + id,
                        "v" + initiator.name,
                        scenario.timeToLiveMicros(),
                        "p",
                        "c",
                        1,
                        units));
    }

    private SchedulerSettings settings() {
        double initialBudget =
                OVERLOAD_FACTOR
                        * INITIAL_FRACTION
                        * scenario.capacity()
                        * OVERLOAD_WINDOW_MICROS
                        / MICROS_PER_SECOND;
        return new SchedulerSettings(
                scenario.initiators(),
                List.of(
                        new SchedulerSettings.RequestClass(
                                "c",
                                SchedulerSettings.Idempotency.IDEMPOTENT,
                                SchedulerSettings.DeduplicationScope.CELL,
                                0,
                                false,
                                LATENCY_OBJECTIVE_MICROS,
                                1)),
                List.of(new SchedulerSettings.ServicePlan("p", 0, 1, 0, 0, 0)),
                new SchedulerSettings.Capabilities(
                        3, scenario.probes() != Probes.NONE, true, true, 500_000),
                new SchedulerSettings.RuleLimits(
                        0,
                        WARM_UP_MICROS,
                        INITIAL_FRACTION,
                        initialBudget,
                        OVERLOAD_WINDOW_MICROS,
                        OVERLOAD_FACTOR,
                        0,
                        0,
                        0,
                        0),
                false);
    }
}
