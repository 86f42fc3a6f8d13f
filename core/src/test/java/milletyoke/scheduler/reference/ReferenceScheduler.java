package milletyoke.scheduler.reference;

import java.util.*;
import java.util.stream.IntStream;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.*;
import milletyoke.scheduler.reference.ReferenceState.*;

/**
 * An earlier implementation of the scheduler, kept as the reference that the current one is
 * compared with. In each turn it checks all requests, shards and targets, instead of only those
 * where something may have changed. It is to be removed once that comparison is no longer needed.
 *
 * <p>Schedules the requests of one initiator. The host creates one object per start, calls {@link
 * #decide} with the time and the events since the last call, {@link Event.Started} first, and
 * carries out the returned actions in order. The interface is the package milletyoke.scheduler.api;
 * the design and its departures from the paper are described in docs/design.md.
 */
public final class ReferenceScheduler {
    private static final int BASE_BATCH_SIZE = 4;
    private static final double INITIAL_CONCURRENCY_LIMIT = 4, MAX_CONCURRENCY_LIMIT = 16;
    private static final double MARGIN_STEPS = 1.5;

    /**
     * Fraction of the shortest latency objective above which an answer is late: its target does not
     * serve in tag order.
     */
    private static final double LATE_FRACTION = 1.0 / 6;

    /** Weight of a new sample in moving averages, as in TCP's round-trip estimate. */
    private static final double SMOOTHING = 1.0 / 8;

    /** Latencies without an answer after which a target with attempts in flight is unresponsive. */
    private static final double PATIENCE_FACTOR = 4;

    /**
     * Share of load reports above half the shortest latency objective from which probes go first.
     */
    private static final double SUSPECT_LATE_SHARE = 0.05;

    /**
     * Fractions of the shortest latency objective up to which a request may join the queue reported
     * at a target: for requests below their reservation, and for others.
     */
    private static final double JOIN_FRACTION_BELOW_RESERVATION = 0.75, JOIN_FRACTION_OTHERS = 0.25;

    /** Least probability of an eligible retry. */
    private static final double MIN_RETRY_PROBABILITY = 0.1;

    /**
     * Trial intervals and backoffs last at most this many shortest latency objectives; a latency
     * estimate is used no longer without a new answer.
     */
    private static final long MAX_BACKOFF_OBJECTIVES = 4;

    /**
     * Intervals between wake-ups while requests are queued, and while requests are only in flight
     * (microseconds).
     */
    private static final long QUEUED_CHECK_MICROS = 4_000, IN_FLIGHT_CHECK_MICROS = 40_000;

    /** How long before a request's deadline its final answer is sent (microseconds). */
    private static final long ANSWER_LEAD_MICROS = 5_000;

    /** Delay before the first repetition of an endpoint watch (microseconds). */
    private static final long INITIAL_WATCH_DELAY_MICROS = 500_000;

    /**
     * Fraction of the slack of a rate limit that is used; an auditor that sums in another order
     * needs the rest.
     */
    private static final double USED_SLACK_FRACTION = 0.9;

    /**
     * Fraction of what the overload bound allows beyond the capacity of a target that may be queued
     * there while it warms up.
     */
    private static final double WARM_UP_QUEUE_FRACTION = 1.0 / 8;

    /** History is kept over this many overload windows. */
    private static final double HISTORY_WINDOWS = 8;

    /** Part of the overload bound that random draws of all initiators use in the mean. */
    private static final double BOUND_FRACTION = 0.7;

    /** Part of the overload bound that one initiator may send in a window by load reports. */
    private static final double REPORTED_FRACTION = 0.25;

    /** Share of checked load reports that must be confirmed for reports to be credible. */
    private static final double MIN_CONFIRMED_SHARE = 0.2;

    /** Queue delay that a load report has to show to be checked, in unloaded latencies. */
    private static final double MIN_CHECKED_LATENCIES = 2;

    /** A reservation bucket holds the units of a second and this many requests of the mean size. */
    private static final double EXTRA_MEAN_REQUESTS = 2;

    /** Slow answers weigh less: other requests were probably queued before them. */
    private static final double SLOW_ANSWER_DIVISOR = 8;

    /** Between the seeds of two random sequences: the golden ratio, as in SplitMix64. */
    private static final long SEQUENCE_STEP = 0x9E3779B97F4A7C15L;

    private static final double MICROS_PER_SECOND = 1e6;

    private static final Set<Outcome> MAY_STILL_EXECUTE =
            EnumSet.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED);

    private SchedulerSettings settings;
    private RuleLimits limits;
    private int unwrittenRetries;
    private long lastRetryAt;
    private SplittableRandom random;
    private long startedAt;
    private long shortestObjectiveMicros;

    /**
     * Whether there are so many initiators that concurrency limits of one attempt each already make
     * a queue of twice the shortest latency objective.
     */
    private boolean hasManyInitiators;

    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Map<String, ServicePlan> plans = new HashMap<>();

    private long now;
    private List<Action> actions;
    private long wakeAt = Long.MAX_VALUE;

    /**
     * When a turn last came far later than requested. Guards against stalls of this process: the
     * latency or silence of targets during a stall is not evaluated. Could harm where all turns are
     * late: nothing adapts.
     */
    private long recoveredAt;

    private final Map<String, Integer> targetIndex = new HashMap<>();
    final TargetTable targets = new TargetTable();

    private long watchAt = Long.MAX_VALUE, watchDelayMicros = INITIAL_WATCH_DELAY_MICROS;

    final Map<Integer, ShardQueue> shardQueues = new LinkedHashMap<>();
    private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();
    final Map<String, TokenBucket> defaultLimitBuckets = new LinkedHashMap<>();
    final Map<String, TokenBucket> limitBuckets = new HashMap<>(),
            reservationBuckets = new HashMap<>();
    private final Map<String, KeySequence> keySequences = new HashMap<>();
    private final Map<String, Long> longestTimeLeftMicros = new HashMap<>();
    private final ArrayDeque<Long> admissions = new ArrayDeque<>(), retries = new ArrayDeque<>();
    double retrySuccessShare = 1, lateShare;

    /** Estimated latency of a request at a target without a queue. */
    private double unloadedLatencyMicros;

    /** Smoothed share of load reports that were confirmed by the latency of attempts. */
    private double confirmedShare;

    private long seed;
    private long admissionCount;

    private double meanUnits;

    /** Handles the events since the last call and returns the actions to carry out, in order. */
    public List<Action> decide(long time, List<Event> events) {
        now = time;
        recoveredAt = now - wakeAt > LATE_FRACTION * shortestObjectiveMicros ? now : recoveredAt;
        wakeAt = now >= wakeAt ? Long.MAX_VALUE : wakeAt;
        actions = new ArrayList<>();
        events.forEach(this::handle);
        IntStream.range(0, targets.count).forEach(this::checkResponsive);
        pendingRequests.values().forEach(this::checkLost);
        shardQueues.values().stream()
                .filter(shardQueue -> shardQueue.queuedCount > 0)
                .forEach(this::serve);
        sendWatchIfDue();
        scheduleWakeUp();
        return actions;
    }

    private void handle(Event event) {
        if (event instanceof Event.Started started) {
            start(started);
        } else if (event instanceof Event.SettingsChanged changed) {
            changeSettings(changed.settings());
        } else if (event instanceof Event.EndpointListReceived list) {
            handleEndpointList(list);
        } else if (event instanceof Event.RequestReceived received) {
            admit(received);
        } else if (event instanceof Event.AttemptWritten written
                && pendingRequests.containsKey(written.id())) {
            takeReserved(pendingRequests.get(written.id()), written.writtenAtMicros());
            countRetry(pendingRequests.get(written.id()), written.writtenAtMicros());
        } else if (event instanceof Event.AttemptEnded ended) {
            completeAttempt(ended);
        } else if (event instanceof Event.ProbeEnded probe
                && targetIndex.containsKey(probe.target())) {
            recordProbe(probe);
        } else if (event instanceof Event.RequestClosed closed
                && pendingRequests.containsKey(closed.id())) {
            complete(pendingRequests.get(closed.id()));
        }
    }

    private void start(Event.Started started) {
        limits = started.settings().limits();
        seed = started.seed();
        random = new SplittableRandom(seed);
        startedAt = now;
        applySettings(started.settings());
        hasManyInitiators = settings.initiatorCount() * LATE_FRACTION > 2;
        watchAt = settings.mustWatchEndpoints() ? now : Long.MAX_VALUE;
    }

    private void applySettings(SchedulerSettings next) {
        settings = next;
        settings.requestClasses()
                .forEach(requestClass -> requestClasses.put(requestClass.name(), requestClass));
        shortestObjectiveMicros =
                settings.requestClasses().stream()
                        .mapToLong(RequestClass::latencyObjectiveMicros)
                        .min()
                        .orElse(0);
        settings.plans().forEach(plan -> plans.put(plan.name(), plan));
        for (ServicePlan plan : settings.plans()) {
            TokenBucket bucket =
                    defaultLimitBuckets.computeIfAbsent(plan.name(), name -> new TokenBucket());
            bucket.updatedAt = bucket.plan == null ? now : bucket.updatedAt;
            bucket.plan = plan.name();
            bucket.initiatorCount = 1;
        }
    }

    /**
     * Applies new plans, also to queued requests. Each rate limit bucket is first refilled by its
     * former plan, and then contains at most what the new plan allows. Guards rate limits (rule 7)
     * against a limit that is lowered and raised again, which would otherwise fill the bucket at
     * once, and against past time credited at a higher rate. Only harms a volume whose limit rises:
     * its bucket fills as time goes on.
     */
    private void changeSettings(SchedulerSettings next) {
        limitBuckets.values().forEach(this::refill);
        defaultLimitBuckets.values().forEach(this::refill);
        applySettings(next);
        limitBuckets.values().forEach(this::refill);
        defaultLimitBuckets.values().forEach(this::refill);
        pendingRequests
                .values()
                .forEach(request -> request.plan = plans.get(request.received.plan()));
        shardQueues
                .values()
                .forEach(shardQueue -> shardQueue.flows.values().forEach(this::applyPlanWeight));
    }

    private void refill(TokenBucket bucket) {
        bucket.units = refilledUnits(bucket);
        bucket.updatedAt = now;
    }

    private double refilledUnits(TokenBucket bucket) {
        ServicePlan plan = plans.get(bucket.plan);
        boolean hasRateLimit = plan != null && plan.limitRate() > 0;
        return hasRateLimit
                ? unitsAt(
                        bucket,
                        plan.limitRate() / bucket.initiatorCount,
                        limitDepth(plan) / bucket.initiatorCount)
                : bucket.units;
    }

    private void applyPlanWeight(FlowQueue flow) {
        flow.weight =
                flow.requests.isEmpty() ? flow.weight : weight(flow.requests.peekFirst().plan);
        updateFinishTag(flow);
    }

    private void scheduleWakeUp() {
        boolean hasQueued =
                shardQueues.values().stream().anyMatch(shardQueue -> shardQueue.queuedCount > 0);
        long checkAt =
                pendingRequests.isEmpty()
                        ? Long.MAX_VALUE
                        : now + (hasQueued ? QUEUED_CHECK_MICROS : IN_FLIGHT_CHECK_MICROS);
        if (Math.min(watchAt, checkAt) < wakeAt) {
            wakeAt = Math.min(watchAt, checkAt);
            actions.add(new Action.ScheduleWakeUp(Math.max(1, wakeAt - now)));
        }
    }

    // ---- Endpoint lists ----

    private void handleEndpointList(Event.EndpointListReceived list) {
        if (list.scope() == Event.ListScope.UNAVAILABLE) {
            retryWatchLater();
            return;
        }
        watchDelayMicros =
                list.scope() == Event.ListScope.RESTORED
                        ? watchDelayMicros
                        : INITIAL_WATCH_DELAY_MICROS;
        if (list.scope() != Event.ListScope.UPDATE) {
            Arrays.fill(targets.usable, false);
        }
        list.targets().forEach(this::applyTarget);
        shardQueues.forEach(this::selectTarget);
    }

    /**
     * Schedules another watch after a failure, which does not show whether the former watch still
     * exists, with jittered exponential backoff.
     */
    private void retryWatchLater() {
        if (settings.mustWatchEndpoints() && watchAt == Long.MAX_VALUE) {
            watchAt = now + (long) (watchDelayMicros * (0.5 + random.nextDouble()));
            watchDelayMicros =
                    Math.max(
                            INITIAL_WATCH_DELAY_MICROS,
                            Math.min(2 * watchDelayMicros, limits.watchDeadlineMicros() / 2));
        }
    }

    private void sendWatchIfDue() {
        if (now >= watchAt) {
            watchAt = Long.MAX_VALUE;
            actions.add(new Action.WatchEndpoints());
        }
    }

    private void applyTarget(Event.Target listed) {
        int target = targetIndex.computeIfAbsent(listed.id(), targets::add);
        targets.zone[target] = String.valueOf(listed.zone());
        targets.shardOf[target] = listed.shard();
        targets.usable[target] = listed.health() == Event.Health.ACTIVE;
        if (targets.incarnation[target] == 0
                || listed.startedAtMicros() > targets.startedAt[target]) {
            targets.startedAt[target] = listed.startedAtMicros();
            beginIncarnation(target);
        }
        shardQueues.computeIfAbsent(listed.shard(), ShardQueue::new);
    }

    private void beginIncarnation(int target) {
        targets.concurrencyLimit[target] = INITIAL_CONCURRENCY_LIMIT;
        targets.inFlight[target] = 0;
        targets.incarnation[target]++;
        targets.latencyMicros[target] = 0;
        targets.nextTrialAt[target] = 0;
        targets.reportValidUntil[target] = 0;
    }

    private void selectTarget(int shard, ShardQueue shardQueue) {
        shardQueue.target = -1;
        for (int target = 0; target < targets.count; target++) {
            boolean isNewer =
                    shardQueue.target < 0
                            || targets.startedAt[target] >= targets.startedAt[shardQueue.target];
            if (targets.shardOf[target] == shard && targets.usable[target] && isNewer) {
                shardQueue.target = target;
            }
        }
    }

    // ---- Admission ----

    private void admit(Event.RequestReceived received) {
        RequestClass requestClass = requestClasses.get(received.requestClass());
        PendingRequest request =
                new PendingRequest(received, requestClass, plans.get(received.plan()));
        request.admissionNumber = admissionCount++;
        request.deadlineAt = now + received.timeLeftMicros();
        long longest =
                longestTimeLeftMicros.merge(
                        requestClass.name(), received.timeLeftMicros(), Math::max);
        // A repeat with so little time left could hardly succeed; it counts as a new request.
        boolean isShorterThanObjective =
                received.timeLeftMicros() < requestClass.latencyObjectiveMicros();
        request.firstReceivedAt =
                isShorterThanObjective ? now : now - (longest - received.timeLeftMicros());
        request.objectiveAt =
                Math.min(
                        request.firstReceivedAt + requestClass.latencyObjectiveMicros(),
                        request.deadlineAt - ANSWER_LEAD_MICROS);
        pendingRequests.put(received.id(), request);
        inRetryWindow(admissions).addLast(now);
        if (hasRateLimit(request)) {
            openLimitBucket(request);
        }
        meanUnits += (received.units() - meanUnits) * (meanUnits == 0 ? 1 : SMOOTHING);
        if (requestClass.keyOrdered() && received.extent() != null) {
            keySequences
                    .computeIfAbsent(received.extent(), key -> new KeySequence())
                    .requests
                    .addLast(request);
        }
        request.shardQueue =
                received.shard() < 0
                        ? chooseShard()
                        : shardQueues.computeIfAbsent(received.shard(), ShardQueue::new);
        if (limits.overloadWindowMicros() > 0) {
            request.shardQueue.requestedUnits.add(
                    received.units(), now, HISTORY_WINDOWS * limits.overloadWindowMicros());
            if (drawWindow(request.shardQueue, now)
                    > drawWindow(request.shardQueue, request.shardQueue.lastRequestedAt) + 1) {
                request.shardQueue.drawsSince = now;
            }
            request.shardQueue.lastRequestedAt = now;
        }
        enqueue(request);
    }

    /**
     * Chooses the shard of a new object by a random draw, weighted by the estimated room of each
     * target.
     */
    private ShardQueue chooseShard() {
        double remaining =
                random.nextDouble() * shardQueues.values().stream().mapToDouble(this::room).sum();
        ShardQueue chosen = null;
        for (ShardQueue shardQueue : shardQueues.values()) {
            chosen = chosen == null || remaining > 0 && room(shardQueue) > 0 ? shardQueue : chosen;
            remaining -= room(shardQueue);
        }
        return chosen == null ? shardQueues.computeIfAbsent(0, ShardQueue::new) : chosen;
    }

    private double room(ShardQueue shardQueue) {
        int target = shardQueue.target;
        boolean isUnavailable =
                target < 0 || targets.nextTrialAt[target] > 0 || isWarmingUp(target);
        double queuedByOthers =
                hasReport(target)
                        ? targets.queueDelayMicros[target] / Math.max(1, unloadedLatencyMicros)
                        : 0;
        return isUnavailable
                ? 0
                : targets.concurrencyLimit[target]
                        / (1 + targets.inFlight[target] + shardQueue.queuedCount + queuedByOthers);
    }

    private void enqueue(PendingRequest request) {
        ShardQueue shardQueue = request.shardQueue;
        FlowQueue flow =
                shardQueue.flows.computeIfAbsent(
                        request.received.volume(), volume -> new FlowQueue());
        flow.weight = weight(request.plan);
        if (flow.requests.isEmpty()) {
            flow.startTag = Math.max(shardQueue.virtualTime, flow.finishTag);
            double leastExtraTag =
                    shardQueue.flows.values().stream()
                            .filter(other -> !other.requests.isEmpty())
                            .mapToDouble(other -> other.extraTag)
                            .min()
                            .orElse(flow.extraTag);
            flow.extraTag = Math.max(flow.extraTag, leastExtraTag);
        }
        flow.requests.add(insertionIndex(flow.requests, request), request);
        updateFinishTag(flow);
        shardQueue.queuedCount++;
    }

    private static double weight(ServicePlan plan) {
        return plan == null || plan.weight() <= 0 ? 1 : plan.weight();
    }

    /**
     * Returns the position in a flow: by priority weight, then the newest first, so that a backlog
     * makes few requests very late instead of all requests a little late.
     */
    private static int insertionIndex(LinkedList<PendingRequest> queue, PendingRequest request) {
        double ownWeight = request.requestClass.priorityWeight();
        return (int)
                queue.stream()
                        .filter(
                                other ->
                                        other.requestClass.priorityWeight() > ownWeight
                                                || other.requestClass.priorityWeight() == ownWeight
                                                        && other.firstReceivedAt
                                                                >= request.firstReceivedAt)
                        .count();
    }

    private static double tagStep(FlowQueue flow, PendingRequest request) {
        return request.received.units() / flow.weight;
    }

    private static void updateFinishTag(FlowQueue flow) {
        flow.finishTag =
                flow.requests.isEmpty()
                        ? flow.finishTag
                        : flow.startTag + tagStep(flow, flow.requests.peekFirst());
    }

    private static void dequeue(PendingRequest request, FlowQueue flow) {
        flow.requests.remove(request);
        request.shardQueue.queuedCount--;
        updateFinishTag(flow);
    }

    // ---- Serving a shard ----

    private void serve(ShardQueue shardQueue) {
        boolean awaitsProbe = mustAwaitProbe(shardQueue.target);
        List<PendingRequest> lateRequests = takeLateRequests(shardQueue);
        while (!awaitsProbe && sendBatch(shardQueue)) {
            continue;
        }
        for (PendingRequest request : lateRequests) {
            boolean hasSlot =
                    !awaitsProbe
                            && availableSlots(shardQueue) > 0
                            && canJoin(request, shardQueue.target);
            boolean mayUseSlot =
                    now <= request.objectiveAt || !hasManyInitiators && !needsLimitUnits(request);
            if (!hasSlot || !mayUseSlot || !trySend(request, shardQueue.target)) {
                rejectOrFail(request);
            }
        }
    }

    /**
     * Returns whether to wait for a probe, and sends one if there is no valid report. Where many
     * initiators share a target and answers are late, a probe goes first: each initiator gets too
     * few answers to notice the queue that concurrency limits of one attempt cause. Guards against
     * load from other initiators; could harm where probes are expensive or answered later than
     * attempts.
     */
    private boolean mustAwaitProbe(int target) {
        boolean canProbe =
                settings.capabilities().canProbe()
                        && target >= 0
                        && targets.nextTrialAt[target] == 0;
        boolean isSuspect = canProbe && (lateShare >= SUSPECT_LATE_SHARE || isWarmingUp(target));
        if (isSuspect && targets.probeSentAt[target] == 0 && !hasReport(target)) {
            targets.probeSentAt[target] = now;
            actions.add(new Action.SendProbe(targets.id[target]));
        }
        return isSuspect && targets.probeSentAt[target] > 0;
    }

    boolean hasReport(int target) {
        return target >= 0 && now < targets.reportValidUntil[target];
    }

    private double expectedLatencyMicros(int target) {
        boolean isOld =
                target >= 0
                        && now - targets.lastAnswerAt[target]
                                > MAX_BACKOFF_OBJECTIVES * shortestObjectiveMicros;
        double usualMicros =
                target < 0 || targets.probeSentAt[target] > 0
                        ? 0
                        : isOld ? unloadedLatencyMicros : targets.latencyMicros[target];
        return hasReport(target)
                ? targets.queueDelayMicros[target] + unloadedLatencyMicros
                : usualMicros;
    }

    /**
     * Returns whether a request may join the queue reported at the target; the random threshold
     * keeps initiators out of step.
     */
    private boolean canJoin(PendingRequest request, int target) {
        double fraction =
                isBelowReservation(request)
                        ? JOIN_FRACTION_BELOW_RESERVATION
                        : JOIN_FRACTION_OTHERS * targets.joinThreshold[target];
        return !hasReport(target)
                || targets.queueDelayMicros[target] <= fraction * shortestObjectiveMicros;
    }

    /**
     * Dequeues the requests that can no longer be answered within their latency objective. They
     * take slots that are left, unless others need these (many initiators, a rate limit), or get
     * their final answer immediately. Guards against a backlog of any cause that would make all
     * later requests late too. Could harm where the latency is estimated too high.
     */
    private List<PendingRequest> takeLateRequests(ShardQueue shardQueue) {
        double expectedMicros = expectedLatencyMicros(shardQueue.target);
        List<PendingRequest> lateRequests = new ArrayList<>();
        for (FlowQueue flow : shardQueue.flows.values()) {
            for (PendingRequest request :
                    flow.requests.stream()
                            .filter(queued -> now + expectedMicros > queued.objectiveAt)
                            .toList()) {
                dequeue(request, flow);
                lateRequests.add(request);
            }
        }
        return lateRequests;
    }

    /**
     * Sends one base batch by least finish tag and, beside each of its requests, the inserts that
     * may join. Returns false if the batch is empty.
     */
    private boolean sendBatch(ShardQueue shardQueue) {
        int slots = availableSlots(shardQueue);
        int batchSize = Math.min(BASE_BATCH_SIZE, (slots + 1) / 2);
        List<PendingRequest> batchRequests = new ArrayList<>();
        for (FlowQueue flow = leastFinishTag(shardQueue);
                batchRequests.size() < batchSize && flow != null;
                flow = leastFinishTag(shardQueue)) {
            PendingRequest request = firstSendable(shardQueue, flow);
            shardQueue.virtualTime = flow.startTag;
            flow.startTag = flow.finishTag;
            dequeue(request, flow);
            batchRequests.add(request);
        }
        slots -= batchRequests.size();
        for (PendingRequest request : batchRequests) {
            if (!trySend(request, shardQueue.target)) {
                enqueue(request); // an earlier one used up a rate limit or a warm-up budget
            }
            for (PendingRequest insert = takeInsert(shardQueue, request, slots);
                    insert != null;
                    insert = takeInsert(shardQueue, request, slots)) {
                trySend(insert, shardQueue.target);
                slots--;
            }
        }
        return !batchRequests.isEmpty();
    }

    /**
     * Returns the flow of least finish tag among those below their reservation; if there is none,
     * among all. Guards reservations where many volumes request more; could harm the shares by
     * weight if reservations took the whole shard for long.
     */
    private FlowQueue leastFinishTag(ShardQueue shardQueue) {
        FlowQueue least = null;
        boolean isLeastBelow = false;
        for (FlowQueue flow : shardQueue.flows.values()) {
            PendingRequest request = firstSendable(shardQueue, flow);
            boolean isBelow = request != null && isBelowReservation(request);
            boolean isFirst =
                    least == null
                            || (isBelow == isLeastBelow
                                    ? flow.finishTag < least.finishTag
                                    : isBelow);
            if (request != null && isFirst) {
                least = flow;
                isLeastBelow = isBelow;
            }
        }
        return least;
    }

    private PendingRequest firstSendable(ShardQueue shardQueue, FlowQueue flow) {
        int target = shardQueue.target;
        return flow.requests.stream()
                .filter(request -> permits(request, target) && canJoin(request, target))
                .findFirst()
                .orElse(null);
    }

    /**
     * Returns whether the bucket of its volume's reservation covers the request. A bucket holds at
     * most the units of one second and of two requests of the mean size.
     */
    private boolean isBelowReservation(PendingRequest request) {
        return unitsAt(
                        reservationBuckets.get(request.received.volume()),
                        reservationRate(request),
                        reservationDepth(request))
                >= request.received.units();
    }

    private static double reservationRate(PendingRequest request) {
        return request.plan == null ? 0 : request.plan.reservationRate();
    }

    private double reservationDepth(PendingRequest request) {
        return reservationRate(request) + EXTRA_MEAN_REQUESTS * meanUnits;
    }

    private PendingRequest takeInsert(ShardQueue shardQueue, PendingRequest beside, int slots) {
        String extent = beside.received.extent();
        if (slots <= 0 || extent == null || beside.requestClass.keyOrdered()) {
            return null;
        }
        for (FlowQueue flow : shardQueue.flows.values()) {
            for (PendingRequest request : flow.requests) {
                if (extent.equals(request.received.extent())
                        && !request.requestClass.keyOrdered()
                        && permits(request, shardQueue.target)
                        && canJoin(request, shardQueue.target)
                        && isWithinMargin(shardQueue, flow, tagStep(flow, request))) {
                    flow.extraTag += tagStep(flow, request);
                    dequeue(request, flow);
                    return request;
                }
            }
        }
        return null;
    }

    /**
     * Returns whether the extra tags of flows with queued requests stay within the margin after one
     * step.
     */
    private boolean isWithinMargin(ShardQueue shardQueue, FlowQueue flow, double step) {
        double least = flow.extraTag + step, greatest = least, leastWeight = flow.weight;
        for (FlowQueue other : shardQueue.flows.values()) {
            if (other != flow && !other.requests.isEmpty()) {
                least = Math.min(least, other.extraTag);
                greatest = Math.max(greatest, other.extraTag);
                leastWeight = Math.min(leastWeight, other.weight);
            }
        }
        return greatest - least <= MARGIN_STEPS * meanUnits / leastWeight;
    }

    private int availableSlots(ShardQueue shardQueue) {
        int target = shardQueue.target;
        int trialSlots = target >= 0 && targets.trialAllowed[target] ? 1 : 0;
        return target < 0 || targets.nextTrialAt[target] > 0
                ? trialSlots
                : (int) targets.concurrencyLimit[target] - targets.inFlight[target];
    }

    // ---- Sending: every attempt is sent by trySend, which checks the rules in permits ----

    private boolean trySend(PendingRequest request, int target) {
        if (!permits(request, target)) {
            return false;
        }
        if (request.attempts > 0) {
            request.hasUnwrittenRetry = true;
            unwrittenRetries++;
        }
        if (needsLimitUnits(request)) {
            reserveLimit(request);
        }
        spendReservation(request);
        request.reportedDelayMicros =
                hasReport(target) && targets.isReportOfProbe[target]
                        ? targets.queueDelayMicros[target]
                        : -1;
        if (isWarmingUp(target)) {
            request.warmUpSend = new WarmUpSend(request.received.units());
            targets.warmUpSends.get(target).addLast(request.warmUpSend);
            targets.reportValidUntil[target] = 0;
        }
        targets.lastAnswerAt[target] =
                targets.inFlight[target] == 0 && targets.nextTrialAt[target] == 0
                        ? now
                        : targets.lastAnswerAt[target];
        targets.trialAllowed[target] = false;
        request.attempts++;
        request.presumedLost = false;
        request.inFlightTarget = target;
        request.inFlightIncarnation = targets.incarnation[target];
        request.sentAt = now;
        targets.inFlight[target]++;
        actions.add(
                new Action.SendAttempt(
                        request.received.id(), request.deadlineAt, targets.id[target]));
        return true;
    }

    private boolean permits(PendingRequest request, int target) {
        boolean isInTime = !request.answered && now < request.deadlineAt - ANSWER_LEAD_MICROS;
        return target >= 0
                && targets.usable[target]
                && isInTime
                && cannotRunTwice(request, target)
                && withinWarmUpBudget(request, target)
                && isNextForKey(request)
                && withinRetryBudget(request)
                && withinRateLimit(request);
    }

    private boolean cannotRunTwice(PendingRequest request, int target) {
        if (request.inFlightTarget >= 0
                || request.attempts >= settings.capabilities().maxAttempts()) {
            return false;
        }
        boolean isInScope =
                request.executedOn < 0
                        || switch (request.requestClass.deduplicationScope()) {
                            case ALL -> true;
                            case ZONE ->
                                    targets.zone[target].equals(targets.zone[request.executedOn]);
                            case CELL ->
                                    targets.shardOf[target] == targets.shardOf[request.executedOn];
                        };
        return canExecuteAgain(request)
                && (isInScope || request.requestClass.idempotency() == Idempotency.IDEMPOTENT);
    }

    private boolean canExecuteAgain(PendingRequest request) {
        return request.executedOn < 0
                || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && now
                                < request.executedSince
                                        + request.requestClass.deduplicationWindowMicros();
    }

    boolean isWarmingUp(int target) {
        return limits.overloadWindowMicros() > 0
                && targets.startedAt[target] > 0
                && now < targets.startedAt[target] + limits.warmUpMicros();
    }

    /**
     * Returns whether this initiator may send the request to a target that warms up. The budget of
     * one window is its even part of what such a target bears, or the part of what the shard's warm
     * target served for this initiator that the new target can surely serve. Where neither budget
     * is large enough for any request, random draws decide. A credible report of a short queue
     * allows more.
     */
    private boolean withinWarmUpBudget(PendingRequest request, int target) {
        if (!isWarmingUp(target)) {
            return true;
        }
        double units = request.received.units();
        targets.warmUpSends.get(target).removeIf(send -> send.countedUntil <= now);
        double sentUnits =
                targets.warmUpSends.get(target).stream().mapToDouble(send -> send.units).sum();
        double fleetUnits = limits.warmUpBudgetUnits() * budgetGrowth(target);
        double tolerableDelayMicros =
                WARM_UP_QUEUE_FRACTION
                        * (limits.overloadFactor() - 1)
                        * limits.overloadWindowMicros();
        if (confirmedShare >= MIN_CONFIRMED_SHARE
                && hasReport(target)
                && targets.queueDelayMicros[target] <= tolerableDelayMicros
                && (sentUnits == 0 || sentUnits + units <= REPORTED_FRACTION * fleetUnits)) {
            return true;
        }
        if (now < startedAt + limits.overloadWindowMicros()
                && targets.startedAt[target] < startedAt) {
            return false;
        }
        double evenUnits = fleetUnits / Math.max(1, settings.initiatorCount());
        double horizonMicros = HISTORY_WINDOWS * limits.overloadWindowMicros();
        double historyUnits =
                BOUND_FRACTION
                        * limits.overloadFactor()
                        * (request.shardQueue.servedUnits.at(
                                        targets.startedAt[target], horizonMicros)
                                / HISTORY_WINDOWS)
                        * capacityFraction(target);
        if (sentUnits + units <= Math.max(evenUnits, historyUnits)) {
            return true;
        }
        return sentUnits == 0
                && units > Math.max(evenUnits, historyUnits)
                && (isDrawnByEvenPart(request, evenUnits)
                        || isDrawnByHistory(request, historyUnits - evenUnits, horizonMicros));
    }

    private boolean isDrawnByEvenPart(PendingRequest request, double evenUnits) {
        long window = drawWindow(request.shardQueue, now);
        double draw = draw(-1L - request.shardQueue.shard, request.shardQueue.drawsSince + window);
        return draw * request.received.units() <= BOUND_FRACTION * evenUnits;
    }

    private long drawWindow(ShardQueue shardQueue, long time) {
        return Math.floorDiv(time - shardQueue.drawsSince, limits.overloadWindowMicros());
    }

    private boolean isDrawnByHistory(PendingRequest request, double allowed, double horizonMicros) {
        if (allowed <= 0) {
            return false;
        }
        long admittedAt = request.deadlineAt - request.received.timeLeftMicros();
        long round = (now - admittedAt) / limits.overloadWindowMicros();
        long roundStartedAt = admittedAt + round * limits.overloadWindowMicros();
        double observedWindows =
                (roundStartedAt - startedAt) / (double) limits.overloadWindowMicros();
        double requested =
                request.shardQueue.requestedUnits.at(roundStartedAt, horizonMicros)
                        / (HISTORY_WINDOWS * -StrictMath.expm1(-observedWindows / HISTORY_WINDOWS));
        return draw(request.admissionNumber, -round) * requested <= allowed;
    }

    private double draw(long sequence, long number) {
        return new SplittableRandom(seed + SEQUENCE_STEP * (sequence + 1) ^ number).nextDouble();
    }

    /**
     * Returns the factor by which the budget has grown since the target's start, as of the start of
     * the overload window. A target warms up linearly or faster.
     */
    private double budgetGrowth(int target) {
        return limits.initialFraction() > 0
                ? capacityFraction(target) / limits.initialFraction()
                : 1;
    }

    private double capacityFraction(int target) {
        double initialFraction = limits.initialFraction();
        double warmUpProgress =
                Math.max(0, now - limits.overloadWindowMicros() - targets.startedAt[target])
                        / (double) limits.warmUpMicros();
        return initialFraction + (1 - initialFraction) * warmUpProgress;
    }

    private boolean isNextForKey(PendingRequest request) {
        KeySequence sequence = sequenceOf(request);
        return sequence == null
                || sequence.requests.peekFirst() == request && now >= sequence.quietUntil;
    }

    private KeySequence sequenceOf(PendingRequest request) {
        return request.requestClass.keyOrdered() && request.received.extent() != null
                ? keySequences.get(request.received.extent())
                : null;
    }

    private boolean withinRetryBudget(PendingRequest request) {
        return request.attempts == 0
                || limits.retryWindowMicros() == 0
                || inRetryWindow(retries).size() + unwrittenRetries + 1
                        <= limits.freeRetries()
                                + limits.retryShare() * inRetryWindow(admissions).size();
    }

    private ArrayDeque<Long> inRetryWindow(ArrayDeque<Long> times) {
        while (!times.isEmpty() && times.peekFirst() <= now - limits.retryWindowMicros()) {
            times.removeFirst();
        }
        return times;
    }

    private boolean withinRateLimit(PendingRequest request) {
        return !needsLimitUnits(request)
                || request.received.units()
                                - (availableUnits(request) - limitBucket(request).reservedUnits)
                        <= 0;
    }

    private static boolean needsLimitUnits(PendingRequest request) {
        return hasRateLimit(request) && !request.hasSpentUnits;
    }

    private static boolean hasRateLimit(PendingRequest request) {
        return request.plan != null && request.plan.limitRate() > 0;
    }

    /**
     * Returns the bucket of this initiator's part of a volume's rate limit, including slack. A new
     * bucket is filled from when its plan became known, as an earlier incarnation may have spent
     * the units before that.
     */
    private TokenBucket limitBucket(PendingRequest request) {
        return limitBuckets.computeIfAbsent(
                request.received.volume(),
                volume -> {
                    TokenBucket bucket = new TokenBucket();
                    bucket.units =
                            defaultLimitBuckets.get(request.received.plan()).units
                                    / initiatorCount(request);
                    bucket.updatedAt = defaultLimitBuckets.get(request.received.plan()).updatedAt;
                    bucket.plan = request.received.plan();
                    bucket.initiatorCount = initiatorCount(request);
                    return bucket;
                });
    }

    /**
     * Refills the bucket by its former plan and number of initiators, then assigns those of the
     * request.
     */
    private void openLimitBucket(PendingRequest request) {
        TokenBucket bucket = limitBucket(request);
        refill(bucket);
        bucket.plan = request.received.plan();
        bucket.initiatorCount = initiatorCount(request);
    }

    private double availableUnits(PendingRequest request) {
        TokenBucket bucket = limitBucket(request);
        boolean isSamePlan =
                bucket.plan.equals(request.received.plan())
                        && bucket.initiatorCount == initiatorCount(request);
        return isSamePlan
                ? unitsAt(bucket, limitRate(request), limitDepth(request))
                : Math.min(limitDepth(request), refilledUnits(bucket));
    }

    private void takeReserved(PendingRequest request, long writtenAt) {
        if (!request.hasReservedUnits) {
            return;
        }
        TokenBucket bucket = limitBuckets.get(request.received.volume());
        long takenAt = Math.max(writtenAt, bucket.updatedAt);
        ServicePlan plan = plans.get(bucket.plan);
        double level = bucket.units;
        if (plan != null && plan.limitRate() > 0) {
            level +=
                    plan.limitRate()
                            / bucket.initiatorCount
                            * (takenAt - Math.max(bucket.updatedAt, startedAt))
                            / MICROS_PER_SECOND;
            level = Math.min(limitDepth(plan) / bucket.initiatorCount, level);
        }
        bucket.units = level - request.received.units();
        bucket.updatedAt = takenAt;
        bucket.reservedUnits -= request.received.units();
        request.hasReservedUnits = false;
        request.hasSpentUnits = true;
    }

    private void settleReserved(PendingRequest request, Outcome outcome) {
        boolean neverWritten = outcome == Outcome.NO_CONNECTION || outcome == Outcome.NOT_STARTED;
        if (request.hasReservedUnits && neverWritten) {
            limitBuckets.get(request.received.volume()).reservedUnits -= request.received.units();
            request.hasReservedUnits = false;
        }
        takeReserved(request, now);
        if (request.hasUnwrittenRetry && neverWritten) {
            request.hasUnwrittenRetry = false;
            unwrittenRetries--;
        }
        countRetry(request, now);
    }

    private void countRetry(PendingRequest request, long writtenAt) {
        if (request.hasUnwrittenRetry) {
            request.hasUnwrittenRetry = false;
            unwrittenRetries--;
            lastRetryAt = Math.max(lastRetryAt, writtenAt);
            inRetryWindow(retries).addLast(lastRetryAt);
        }
    }

    private void reserveLimit(PendingRequest request) {
        TokenBucket bucket = limitBucket(request);
        bucket.units = availableUnits(request);
        bucket.reservedUnits += request.received.units();
        request.hasReservedUnits = true;
        bucket.updatedAt = now;
        bucket.plan = request.received.plan();
        bucket.initiatorCount = initiatorCount(request);
    }

    private static double initiatorCount(PendingRequest request) {
        return Math.max(1, request.received.initiatorCount());
    }

    private static double limitRate(PendingRequest request) {
        return request.plan.limitRate() / initiatorCount(request);
    }

    private static double limitDepth(PendingRequest request) {
        return limitDepth(request.plan) / initiatorCount(request);
    }

    private static double limitDepth(ServicePlan plan) {
        return plan.limitBurst() + USED_SLACK_FRACTION * plan.limitSlack();
    }

    /**
     * Returns the units in a bucket now. A bucket is filled by time alone; reading its contents
     * does not change it.
     */
    private double unitsAt(TokenBucket bucket, double rate, double depth) {
        double units = bucket == null ? 0 : bucket.units;
        return Math.min(
                depth,
                units
                        + rate
                                * (now - Math.max(bucket == null ? 0 : bucket.updatedAt, startedAt))
                                / MICROS_PER_SECOND);
    }

    private void spendReservation(PendingRequest request) {
        TokenBucket bucket =
                reservationBuckets.computeIfAbsent(
                        request.received.volume(), volume -> new TokenBucket());
        bucket.units =
                Math.max(
                        0,
                        unitsAt(bucket, reservationRate(request), reservationDepth(request))
                                - request.received.units());
        bucket.updatedAt = now;
    }

    // ---- Outcomes ----

    private void completeAttempt(Event.AttemptEnded ended) {
        PendingRequest request = pendingRequests.get(ended.id());
        if (request == null
                || request.inFlightTarget < 0
                || request.attempts - 1 != ended.attemptNumber()) {
            return;
        }
        int target = request.inFlightTarget;
        request.inFlightTarget = -1;
        releaseSlot(request, target);
        recordReportAccuracy(request, ended);
        recordWarmUpSendEnd(target, request, ended.outcome());
        settleReserved(request, ended.outcome());
        updateTarget(target, request, ended);
        boolean mayStillExecute = MAY_STILL_EXECUTE.contains(ended.outcome());
        KeySequence sequence = sequenceOf(request);
        if (sequence != null && mayStillExecute) {
            sequence.quietUntil = Math.max(sequence.quietUntil, now + limits.keyQuietMicros());
        }
        if (request.executedOn < 0 && (mayStillExecute || ended.outcome() == Outcome.ERROR)) {
            request.executedOn = target;
            request.executedSince = request.sentAt;
        }
        double success = ended.outcome() == Outcome.SUCCEEDED ? 1 : 0;
        retrySuccessShare += request.attempts > 1 ? SMOOTHING * (success - retrySuccessShare) : 0;
        if (ended.answered() || request.answered) {
            complete(request);
        } else if (isWorthRetrying(request, target)) {
            request.shardQueue =
                    request.received.shard() < 0 && request.executedOn < 0
                            ? chooseShard()
                            : request.shardQueue;
            enqueue(request);
        } else {
            rejectOrFail(request);
        }
    }

    /**
     * Checks the load report of a probe against the latency of the attempt sent after it, which
     * shows whether such reports are credible.
     */
    private void recordReportAccuracy(PendingRequest request, Event.AttemptEnded ended) {
        double reportedMicros = request.reportedDelayMicros;
        request.reportedDelayMicros = -1;
        if (reportedMicros < 0
                || ended.outcome() != Outcome.SUCCEEDED && ended.outcome() != Outcome.TIMED_OUT) {
            return;
        }
        double tolerableMicros =
                WARM_UP_QUEUE_FRACTION
                        * (limits.overloadFactor() - 1)
                        * limits.overloadWindowMicros();
        boolean reportsQueue = reportedMicros >= MIN_CHECKED_LATENCIES * unloadedLatencyMicros;
        if (ended.latencyMicros() > reportedMicros + unloadedLatencyMicros + tolerableMicros
                || reportsQueue && ended.latencyMicros() < reportedMicros / 2) {
            confirmedShare = 0;
        } else if (reportsQueue) {
            confirmedShare += SMOOTHING * (1 - confirmedShare);
        }
    }

    private void recordWarmUpSendEnd(int target, PendingRequest request, Outcome outcome) {
        WarmUpSend send = request.warmUpSend;
        request.warmUpSend = null;
        if (send != null) {
            boolean hasNeverRun =
                    outcome == Outcome.NOT_STARTED || outcome == Outcome.NO_CONNECTION;
            send.countedUntil = now + (hasNeverRun ? 0 : limits.overloadWindowMicros());
        } else if (outcome == Outcome.SUCCEEDED
                && !isWarmingUp(target)
                && limits.overloadWindowMicros() > 0) {
            request.shardQueue.servedUnits.add(
                    request.received.units(), now, HISTORY_WINDOWS * limits.overloadWindowMicros());
        }
    }

    private void releaseSlot(PendingRequest request, int target) {
        targets.inFlight[target] -=
                !request.presumedLost && request.inFlightIncarnation == targets.incarnation[target]
                        ? 1
                        : 0;
    }

    private void updateTarget(int target, PendingRequest request, Event.AttemptEnded ended) {
        switch (ended.outcome()) {
            case SUCCEEDED -> recordSuccess(target, request, ended.latencyMicros());
            case ERROR -> recordAnswer(target);
            case OVERLOADED -> {
                recordAnswer(target);
                decreaseLimit(target, request, shortestObjectiveMicros);
            }
            case TIMED_OUT -> decreaseLimit(target, request, shortestObjectiveMicros);
            case NO_CONNECTION -> markUnresponsive(target);
        }
    }

    private void recordSuccess(int target, PendingRequest request, long latencyMicros) {
        recordAnswer(target);
        targets.newestAnsweredSentAt[target] =
                Math.max(targets.newestAnsweredSentAt[target], request.sentAt);
        if (now == recoveredAt) {
            return;
        }
        if (unloadedLatencyMicros == 0
                || hasReport(target) && targets.queueDelayMicros[target] < unloadedLatencyMicros) {
            double weight =
                    latencyMicros < unloadedLatencyMicros
                            ? SMOOTHING
                            : SMOOTHING / SLOW_ANSWER_DIVISOR;
            unloadedLatencyMicros +=
                    (latencyMicros - unloadedLatencyMicros)
                            * (unloadedLatencyMicros == 0 ? 1 : weight);
        }
        targets.lastLatencyMicros[target] = latencyMicros;
        targets.latencyMicros[target] +=
                (latencyMicros - targets.latencyMicros[target])
                        * (targets.latencyMicros[target] == 0 ? 1 : SMOOTHING);
        if (latencyMicros > LATE_FRACTION * shortestObjectiveMicros) {
            decreaseLimit(target, request, latencyMicros);
        } else {
            targets.backoffMicros[target] /= 2;
            lateShare -= SMOOTHING * lateShare;
            targets.concurrencyLimit[target] =
                    Math.min(
                            MAX_CONCURRENCY_LIMIT,
                            targets.concurrencyLimit[target]
                                    + 1 / targets.concurrencyLimit[target]);
        }
    }

    /**
     * Halves the concurrency limit at most once per round trip: an attempt sent before the last
     * decrease shows nothing about the time after it. Among many initiators, a refusal, a time-out
     * or a very late answer while hardly any own attempt is in flight shows a queue that others
     * fill: requests that do not fit are then held back with growing backoff. Could harm where
     * answers are late by chance.
     */
    private void decreaseLimit(int target, PendingRequest request, long latencyMicros) {
        if (request.sentAt < targets.limitReducedAt[target]) {
            return;
        }
        if (hasManyInitiators
                && latencyMicros > shortestObjectiveMicros / 2
                && targets.inFlight[target] < 2) {
            long nextBackoffMicros =
                    Math.max(shortestObjectiveMicros / 2, 2 * targets.backoffMicros[target]);
            targets.backoffMicros[target] =
                    Math.min(MAX_BACKOFF_OBJECTIVES * shortestObjectiveMicros, nextBackoffMicros);
            recordLoadReport(target, latencyMicros, targets.backoffMicros[target]);
        }
        targets.concurrencyLimit[target] = Math.max(1, targets.concurrencyLimit[target] / 2);
        targets.limitReducedAt[target] = now;
    }

    private void recordLoadReport(int target, double queueDelayMicros, long validMicros) {
        targets.queueDelayMicros[target] = queueDelayMicros;
        targets.isReportOfProbe[target] = false;
        targets.reportValidUntil[target] = now + validMicros;
        targets.joinThreshold[target] = random.nextDouble();
        lateShare +=
                SMOOTHING * ((queueDelayMicros > shortestObjectiveMicros / 2 ? 1 : 0) - lateShare);
    }

    private void recordAnswer(int target) {
        targets.lastAnswerAt[target] = now;
        targets.nextTrialAt[target] = 0;
    }

    /**
     * Gives half-open trials, at growing intervals, to a target with attempts in flight that sent
     * no answer for far longer than its latency.
     */
    private void checkResponsive(int target) {
        long quietMicros =
                Math.max(
                        now - Math.max(recoveredAt, targets.lastAnswerAt[target]),
                        shortestObjectiveMicros / 2);
        double patienceMicros =
                Math.max(
                        shortestObjectiveMicros / 2,
                        PATIENCE_FACTOR
                                * Math.max(
                                        targets.latencyMicros[target],
                                        targets.lastLatencyMicros[target]));
        if (targets.nextTrialAt[target] == 0
                && targets.inFlight[target] > 0
                && quietMicros > patienceMicros) {
            markUnresponsive(target);
        } else if (targets.nextTrialAt[target] > 0 && now >= targets.nextTrialAt[target]) {
            targets.nextTrialAt[target] =
                    now + Math.min(quietMicros, MAX_BACKOFF_OBJECTIVES * shortestObjectiveMicros);
            targets.trialAllowed[target] = !settings.capabilities().canProbe();
            if (!targets.trialAllowed[target] && targets.usable[target]) {
                actions.add(new Action.SendProbe(targets.id[target]));
            }
        }
    }

    /**
     * Presumes an attempt lost that later ones overtook long ago. Guards the concurrency limit
     * against attempts that vanish one by one. Could harm where a target serves in no order, so a
     * non-idempotent request is not cancelled.
     */
    private void checkLost(PendingRequest request) {
        int target = request.inFlightTarget;
        boolean isOvertaken =
                target >= 0
                        && !request.presumedLost
                        && targets.newestAnsweredSentAt[target] > request.sentAt;
        double size = isOvertaken ? Math.max(1, request.received.units() / meanUnits) : 0;
        if (isOvertaken
                && now - Math.max(recoveredAt, request.sentAt)
                        > PATIENCE_FACTOR * targets.latencyMicros[target] * size) {
            releaseSlot(request, target);
            request.presumedLost = true;
            if (settings.capabilities().canCancel()
                    && request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT) {
                actions.add(new Action.CancelAttempt(request.received.id(), request.attempts - 1));
            }
        }
    }

    /**
     * Marks a target unresponsive until any answer arrives. Guards against a target that hangs,
     * pauses long, is down or unreachable, whatever the endpoint list says. Could harm where single
     * connections fail by chance.
     */
    private void markUnresponsive(int target) {
        if (targets.nextTrialAt[target] == 0) {
            targets.nextTrialAt[target] = now;
            targets.trialAllowed[target] = false;
        }
    }

    /**
     * Records the result of a probe. A target may answer probes without executing attempts, so
     * success only allows one trial attempt.
     */
    private void recordProbe(Event.ProbeEnded probe) {
        int target = targetIndex.get(probe.target());
        boolean isAnswered = probe.outcome() == Outcome.SUCCEEDED;
        targets.trialAllowed[target] |= isAnswered;
        targets.probeSentAt[target] = 0;
        double ifUnansweredMicros = isWarmingUp(target) ? shortestObjectiveMicros : 0;
        recordLoadReport(
                target,
                isAnswered
                        ? Math.max(
                                probe.latencyMicros(), probe.queueLength() * unloadedLatencyMicros)
                        : ifUnansweredMicros,
                shortestObjectiveMicros / 2);
        targets.isReportOfProbe[target] = isAnswered;
    }

    /**
     * Returns whether to retry after an attempt at a target failed. Retries are made as often as
     * recent ones succeeded.
     */
    private boolean isWorthRetrying(PendingRequest request, int target) {
        boolean isInTime = now + targets.latencyMicros[target] < request.objectiveAt;
        return canExecuteAgain(request)
                && request.attempts < settings.capabilities().maxAttempts()
                && isInTime
                && random.nextDouble() < Math.max(MIN_RETRY_PROBABILITY, retrySuccessShare);
    }

    // ---- Final answers ----

    private void rejectOrFail(PendingRequest request) {
        Idempotency idempotency = request.requestClass.idempotency();
        boolean isDeduplicatedEverywhere =
                idempotency == Idempotency.IDEMPOTENCY_KEY
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        boolean isSafeToRepeat =
                request.executedOn < 0
                        || idempotency == Idempotency.IDEMPOTENT
                        || isDeduplicatedEverywhere;
        String id = request.received.id();
        actions.add(
                isSafeToRepeat
                        ? new Action.Reject(id, retryAfterMicros(request.shardQueue.target))
                        : new Action.Fail(id));
        complete(request);
    }

    private long retryAfterMicros(int target) {
        long nextTrialAt = target < 0 ? now + shortestObjectiveMicros : targets.nextTrialAt[target];
        long waitMicros =
                nextTrialAt > 0 ? nextTrialAt - now : (long) targets.latencyMicros[target];
        Capabilities capabilities = settings.capabilities();
        return capabilities.canSuggestRetryAfter()
                ? Math.max(1, Math.min(capabilities.maxRetryAfterMicros(), waitMicros))
                : 0;
    }

    private void complete(PendingRequest request) {
        request.answered = true;
        FlowQueue flow = request.shardQueue.flows.get(request.received.volume());
        if (flow != null && flow.requests.contains(request)) {
            dequeue(request, flow);
        }
        if (request.inFlightTarget < 0) {
            pendingRequests.remove(request.received.id());
            KeySequence sequence = sequenceOf(request);
            if (sequence != null) {
                sequence.requests.remove(request);
                if (sequence.requests.isEmpty() && now >= sequence.quietUntil) {
                    keySequences.remove(request.received.extent());
                }
            }
        }
    }
}
