package milletyoke.scheduler;

import java.util.*;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.*;

/**
 * All decisions of one initiator. Its host makes one object for each start, calls {@link #decide}
 * with the time and what happened since, the start first, and carries out what it returns, in that
 * order. The interface is the package milletyoke.scheduler.api; the design, and each departure, is
 * in docs/design.md.
 */
public final class RequestScheduler {
    // The design's figures.
    private static final int BASE_BATCH = 4, LOTS = 64;
    private static final double FIRST_WINDOW = 4, WINDOW_CEILING = 16;
    private static final double MARGIN_STEPS = 1.5;

    /**
     * An answer is late past this part of the shortest agreed time: at a target no tag order holds.
     */
    private static final double LATE_PART = 1.0 / 6;

    // Smoothing, as TCP does it for its round trips: a figure settles in about eight answers.
    private static final double SMOOTHING = 1.0 / 8;

    /** A target that owes answers is silent once it has given none for this many of its lags. */
    private static final double PATIENCE = 4;

    /**
     * From this part of answers on that took over half of the shortest agreed time, probes go
     * first.
     */
    private static final double SUSPECT = 0.05;

    /**
     * What is said to wait at a target may take this part of that time, for accesses owed and for
     * others.
     */
    private static final double JOIN_OWED = 0.75, JOIN_OTHERS = 0.25;

    private static final double LEAST_FURTHER = 0.1;

    /**
     * Trials and rests grow up to this many of the shortest agreed time; no lag outlives it
     * unheard.
     */
    private static final long LONGEST_TRIAL = 4;

    /** Times between looks at what waits, and at what is only out (microseconds). */
    private static final long LOOK_WAITING = 4_000, LOOK_IDLE = 40_000;

    /** A final answer leaves this long before the client's time is up. */
    private static final long ANSWER_AHEAD = 5_000;

    private static final long FIRST_ASK = 500_000;

    /** The rest of a limit's slack is for sums that another counts in another order. */
    private static final double SLACK_USED = 0.9;

    /**
     * What waits at a cold target may take this part of what the bound leaves beyond its capacity.
     */
    private static final double COLD_QUEUE = 1.0 / 8;

    private static final TreeSet<PendingRequest> NONE = new TreeSet<>(PendingRequest.WITHIN_SHARD);
    private static final Set<Outcome> MAY_STILL_RUN =
            EnumSet.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED);

    private SchedulerSettings given;
    private RuleLimits bounds;
    private SplittableRandom chance;
    private long startedAt;
    private long shortestAgreed;

    /**
     * So many initiators that windows of one each make a queue of twice the shortest agreed time.
     */
    private boolean crowd;

    private final Map<String, RequestClass> categories = new HashMap<>();
    private final Map<String, ServicePlan> plans = new HashMap<>();

    private long now;
    private List<Action> todo;
    private long wakeAt = Long.MAX_VALUE;

    /**
     * When a turn last came far later than was asked for. Guards against standing still for any
     * cause: what came meanwhile tells no target's lag or silence. Could harm where all turns are
     * late: nothing adapts.
     */
    private long resumedAt;

    private final Map<String, Integer> indexOf = new HashMap<>();
    final TargetTable targets = new TargetTable();

    private long askAt = Long.MAX_VALUE, askWait = FIRST_ASK;

    final DispatchQueue dispatchQueue = new DispatchQueue();

    /**
     * The earliest time at which what was just found to be so, or not, may be otherwise by time
     * alone.
     */
    private long again;

    private final HighWaterMark aloneMost = new HighWaterMark(), unitsMost = new HighWaterMark();
    private boolean suspected, hadBudget;
    private final Map<String, PendingRequest> held = new LinkedHashMap<>();
    private long takenInAll;
    private final Map<String, KeySequence> turns = new HashMap<>();
    private final IdleStateEviction forgetting =
            new IdleStateEviction(
                    dispatchQueue,
                    targets,
                    indexOf,
                    turns,
                    held.values(),
                    this::settled,
                    this::reserveHolds);
    private final Map<String, Long> longestTtl = new HashMap<>();
    private final SlidingWindowCounter taken = new SlidingWindowCounter(),
            further = new SlidingWindowCounter();
    double furtherSuccess = 1, lateShare;

    /** What an access takes at a target where no other waits. */
    private double aloneLag;

    /** Probes have told of waiting, so they do not merely show that the target runs. */
    private boolean probesTell;

    private double meanUnits;

    /** The one entry point: takes what happened, returns what is to be done. */
    public List<Action> decide(long time, List<Event> happened) {
        now = time;
        resumedAt = now - wakeAt > LATE_PART * shortestAgreed ? now : resumedAt;
        wakeAt = now >= wakeAt ? Long.MAX_VALUE : wakeAt;
        todo = new ArrayList<>();
        happened.forEach(this::learn);
        noticeDrift();
        watchOwing();
        serveNodes();
        followList();
        arrangeWake();
        forgetting.evictIdle(now, happened.size());
        return todo;
    }

    private void learn(Event event) {
        if (event instanceof Event.Started e) {
            start(e);
        } else if (event instanceof Event.SettingsChanged e) {
            reprovision(e.settings());
        } else if (event instanceof Event.EndpointListReceived e) {
            list(e);
        } else if (event instanceof Event.RequestReceived e) {
            take(e);
        } else if (event instanceof Event.AttemptEnded e) {
            ended(e);
        } else if (event instanceof Event.ProbeEnded e && indexOf.containsKey(e.target())) {
            probed(e);
        } else if (event instanceof Event.RequestClosed e && held.containsKey(e.id())) {
            leave(held.get(e.id()));
        }
    }

    private void start(Event.Started e) {
        bounds = e.settings().limits();
        chance = new SplittableRandom(e.seed());
        startedAt = now;
        provision(e.settings());
        crowd = given.initiatorCount() * LATE_PART > 2;
        askAt = given.mustWatchEndpoints() ? now : Long.MAX_VALUE;
    }

    private void provision(SchedulerSettings next) {
        given = next;
        given.requestClasses().forEach(c -> categories.put(c.name(), c));
        shortestAgreed =
                given.requestClasses().stream()
                        .mapToLong(RequestClass::latencyObjectiveMicros)
                        .min()
                        .orElse(0);
        given.plans().forEach(p -> plans.put(p.name(), p));
        given.plans().forEach(p -> dispatchQueue.addPlan(p.name(), now));
    }

    /**
     * New plans hold from now on, for what waits too. A limit's store is filled by the plan it had,
     * and then holds no more than the new one allows. Guards rule 7 against a limit lowered and
     * raised again, which would fill it at once, and against past time paid at a higher rate. Harms
     * none but a volume whose limit rises: its store fills as time goes on.
     */
    private void reprovision(SchedulerSettings next) {
        dispatchQueue.limitBuckets().forEach(this::settle);
        provision(next);
        dispatchQueue.limitBuckets().forEach(this::settle);
        held.values().forEach(request -> request.plan = plans.get(request.received.plan()));
        dispatchQueue.shardQueues().forEach(ShardQueue::applyPlanWeights);
        dispatchQueue.invalidateAll();
        targets.checkTimes.setAll(targets.count, now);
    }

    private void settle(TokenBucket bucket) {
        bucket.set(settled(bucket), now);
    }

    double settled(TokenBucket bucket) {
        ServicePlan plan = plans.get(bucket.plan);
        boolean limited = plan != null && plan.limitRate() > 0;
        return limited
                ? level(
                        bucket,
                        plan.limitRate() / bucket.initiatorCount,
                        limitDepth(plan) / bucket.initiatorCount)
                : bucket.units;
    }

    private void arrangeWake() {
        long look =
                held.isEmpty()
                        ? Long.MAX_VALUE
                        : now + (dispatchQueue.queuedCount > 0 ? LOOK_WAITING : LOOK_IDLE);
        if (Math.min(askAt, look) < wakeAt) {
            wakeAt = Math.min(askAt, look);
            todo.add(new Action.ScheduleWakeUp(Math.max(1, wakeAt - now)));
        }
    }

    // ---- The list of targets ----

    private void list(Event.EndpointListReceived e) {
        if (e.scope() == Event.ListScope.UNAVAILABLE) {
            askAgain();
            return;
        }
        askWait = e.scope() == Event.ListScope.RESTORED ? askWait : FIRST_ASK;
        if (e.scope() != Event.ListScope.UPDATE) {
            Arrays.fill(targets.usable, false);
        }
        e.targets().forEach(this::listed);
        boolean part = e.scope() == Event.ListScope.UPDATE;
        (part
                        ? e.targets().stream().map(t -> dispatchQueue.shardQueue(t.shard()))
                        : dispatchQueue.shardQueues().stream())
                .forEach(this::findHolder);
    }

    // ---- What is to be looked at again, when ----

    private void againAt(long time) {
        again = Math.min(again, time);
    }

    /** The node that a target holds, or would. */
    private ShardQueue nodeOf(int t) {
        return dispatchQueue.shardQueue(targets.shardOf[t]);
    }

    /**
     * Times are set with more than the means of now; once one outgrows that, all is looked at
     * again.
     */
    private void noticeDrift() {
        boolean grown = aloneMost.raiseFor(aloneLag, now) | unitsMost.raiseFor(meanUnits, now);
        if (grown || suspected != lateShare >= SUSPECT) {
            suspected = lateShare >= SUSPECT;
            dispatchQueue.invalidateAll();
            targets.checkTimes.setAll(targets.count, now);
        }
    }

    /**
     * When this target is next to be asked after: no later than it can be silent, or a relay to it
     * lost.
     */
    private void watch(int t) {
        long silent = Math.max(resumedAt, targets.lastAnswerAt[t]) + (long) patience(t) + 1;
        long due = targets.inFlight[t] > 0 ? silent : IndexedTimerQueue.NEVER;
        due = targets.nextTrialAt[t] > 0 ? targets.nextTrialAt[t] : due;
        for (PendingRequest request : targets.inFlightRequests.get(t)) {
            double most =
                    PATIENCE
                            * targets.latencyMicros[t]
                            * Math.max(1, request.received.units() / unitsMost.bound);
            boolean overtaken = targets.newestAnsweredSentAt[t] > request.sentAt;
            due =
                    overtaken
                            ? Math.min(due, Math.max(resumedAt, request.sentAt) + (long) most)
                            : due;
        }
        targets.checkTimes.set(t, due);
    }

    private void watchOwing() {
        int[] due = targets.checkTimes.removeDue(now);
        List<PendingRequest> owed = new ArrayList<>();
        for (int t : due) {
            watchForSilence(t);
            owed.addAll(targets.inFlightRequests.get(t));
        }
        owed.sort(PendingRequest.BY_ADMISSION);
        owed.forEach(this::watchForLoss);
        for (int t : due) {
            watch(t);
        }
    }

    private void serveNodes() {
        dispatchQueue.collectDue(now);
        noticeBudget();
        for (ShardQueue shardQueue = dispatchQueue.next(null);
                shardQueue != null;
                shardQueue = dispatchQueue.next(shardQueue)) {
            serve(shardQueue);
        }
    }

    /**
     * A failure does not tell if the subscription stands: it is asked again, out of step, ever
     * later.
     */
    private void askAgain() {
        if (given.mustWatchEndpoints() && askAt == Long.MAX_VALUE) {
            askAt = now + (long) (askWait * (0.5 + chance.nextDouble()));
            askWait = Math.max(FIRST_ASK, Math.min(2 * askWait, bounds.watchDeadlineMicros() / 2));
        }
    }

    private void followList() {
        if (now >= askAt) {
            askAt = Long.MAX_VALUE;
            todo.add(new Action.WatchEndpoints());
        }
    }

    private void listed(Event.Target target) {
        int t = indexOf.computeIfAbsent(target.id(), targets::add);
        ShardQueue before =
                targets.incarnation[t] == 0 ? dispatchQueue.shardQueue(target.shard()) : nodeOf(t);
        targets.updateLocation(t, target);
        before.listedTargets.remove(t);
        nodeOf(t).listedTargets.add(t);
        findHolder(before);
        targets.usable[t] = target.health() == Event.Health.ACTIVE;
        if (targets.incarnation[t] == 0 || target.startedAtMicros() > targets.startedAt[t]) {
            targets.startedAt[t] = target.startedAtMicros();
            targets.beginIncarnation(t, FIRST_WINDOW);
        }
        watch(t);
    }

    private void findHolder(ShardQueue shardQueue) {
        shardQueue.target = -1;
        for (int t : shardQueue.listedTargets) {
            boolean newer =
                    shardQueue.target < 0
                            || targets.startedAt[t] >= targets.startedAt[shardQueue.target];
            shardQueue.target = targets.usable[t] && newer ? t : shardQueue.target;
        }
        dispatchQueue.invalidate(shardQueue);
    }

    // ---- Taking ----

    private void take(Event.RequestReceived e) {
        RequestClass category = categories.get(e.requestClass());
        PendingRequest request =
                new PendingRequest(
                        e,
                        takenInAll++,
                        category,
                        dispatchQueue.volume(e, now),
                        plans.get(e.plan()));
        request.deadlineAt = now + e.timeLeftMicros();
        long longest = longestTtl.merge(category.name(), e.timeLeftMicros(), Math::max);
        boolean impatient =
                e.timeLeftMicros()
                        < category
                                .latencyObjectiveMicros(); // a repeat that late would hardly be in
        // time
        request.firstReceivedAt = impatient ? now : now - (longest - e.timeLeftMicros());
        request.objectiveAt =
                Math.min(
                        request.firstReceivedAt + category.latencyObjectiveMicros(),
                        request.deadlineAt - ANSWER_AHEAD);
        held.put(e.id(), request);
        taken.add(now, now - bounds.retryWindowMicros());
        if (request.hasRateLimit()) {
            openLimit(request);
        }
        meanUnits += (e.units() - meanUnits) * (meanUnits == 0 ? 1 : SMOOTHING);
        if (category.keyOrdered() && e.extent() != null) {
            turns.computeIfAbsent(e.extent(), k -> new KeySequence(k)).requests.add(request);
        }
        request.shardQueue = e.shard() < 0 ? draw() : dispatchQueue.shardQueue(e.shard());
        enqueue(request);
    }

    /**
     * A new object goes to a target drawn at random, odds in step with the room each is thought to
     * have.
     */
    private ShardQueue draw() {
        for (int lot = 0;
                dispatchQueue.slotCount() > LOTS && lot < LOTS;
                lot++) { // same odds, not over all
            ShardQueue shardQueue = dispatchQueue.randomShard(chance);
            if (shardQueue != null && chance.nextDouble() * WINDOW_CEILING < room(shardQueue)) {
                return shardQueue;
            }
        }
        double left =
                chance.nextDouble()
                        * dispatchQueue.shardQueues().stream().mapToDouble(this::room).sum();
        ShardQueue drawn = null;
        for (ShardQueue shardQueue : dispatchQueue.shardQueues()) {
            drawn = drawn == null || left > 0 && room(shardQueue) > 0 ? shardQueue : drawn;
            left -= room(shardQueue);
        }
        return drawn == null ? dispatchQueue.shardQueue(0) : drawn;
    }

    private double room(ShardQueue shardQueue) {
        int t = shardQueue.target;
        boolean none = t < 0 || targets.nextTrialAt[t] > 0 || isCold(t);
        double others = isTold(t) ? targets.queueDelayMicros[t] / Math.max(1, aloneLag) : 0;
        return none
                ? 0
                : targets.concurrencyLimit[t]
                        / (1 + targets.inFlight[t] + shardQueue.queuedCount + others);
    }

    private void enqueue(PendingRequest request) {
        ShardQueue shardQueue = request.shardQueue;
        FlowQueue flow = dispatchQueue.flow(shardQueue, request.volume, now);
        if (flow.requests.isEmpty()) {
            flow.startTag = Math.max(shardQueue.virtualTime, flow.finishTag);
            flow.extraTag =
                    shardQueue.byExtraTag.isEmpty()
                            ? flow.extraTag
                            : Math.max(flow.extraTag, shardQueue.byExtraTag.first().extraTag);
        }
        dispatchQueue.enqueue(request, flow);
    }

    // ---- Serving a node ----

    /**
     * What can no longer be answered in its agreed time takes the room that is left, unless others
     * need it (a crowd, a limit), or gets its answer at once. Guards against a backlog of any cause
     * that would make all that comes after it late too. Could harm where the lag is thought longer
     * than it is.
     */
    private void serve(ShardQueue shardQueue) {
        boolean asking = mustAsk(shardQueue.target);
        List<PendingRequest> late = shardQueue.requestsDueBefore(now + expected(shardQueue.target));
        late.forEach(dispatchQueue::dequeue);
        while (!asking && batch(shardQueue)) {
            continue;
        }
        for (PendingRequest request : late) {
            boolean room = !asking && roomAt(shardQueue) > 0 && fits(request, shardQueue.target);
            boolean spares =
                    now <= request.objectiveAt
                            || !crowd && (request.attempts > 0 || !request.hasRateLimit());
            if (!room || !spares || !relay(request, shardQueue.target)) {
                giveUp(request);
            }
        }
        arrangeServing(shardQueue, asking);
    }

    /**
     * When time alone may change what was just done here: lateness, a cold time's end, what is
     * parked.
     */
    private void arrangeServing(ShardQueue shardQueue, boolean asking) {
        again = IndexedTimerQueue.NEVER;
        double expected = expected(shardQueue.target) + aloneMost.bound - aloneLag;
        if (shardQueue.target >= 0 && isCold(shardQueue.target)) {
            againAt(targets.startedAt[shardQueue.target] + bounds.warmUpMicros());
        }
        if (!asking && !shardQueue.parked.isEmpty() && roomAt(shardQueue) > 0) {
            againAt(shardQueue.parked.first().parkedUntil);
        }
        long late =
                shardQueue.byObjective.isEmpty()
                        ? again
                        : (long) (shardQueue.byObjective.first().objectiveAt - expected);
        dispatchQueue.serveAt(shardQueue, Math.min(again, late));
    }

    /**
     * Whether to wait for a probe, sent now if the last one is old. Where answers come late among a
     * crowd, one goes first: each hears too seldom of the queue that windows of one fill. Guards
     * against any load that others bring; could harm where probes are dear, or answered later than
     * work.
     */
    private boolean mustAsk(int t) {
        boolean answers = given.capabilities().canProbe() && t >= 0 && targets.nextTrialAt[t] == 0;
        boolean suspect = answers && (lateShare >= SUSPECT || isCold(t));
        if (suspect && targets.probeSentAt[t] == 0 && !isTold(t)) {
            targets.probeSentAt[t] = now;
            todo.add(new Action.SendProbe(targets.id[t]));
        }
        return suspect && targets.probeSentAt[t] > 0;
    }

    boolean isTold(int t) {
        boolean told = t >= 0 && now < targets.reportValidUntil[t];
        againAt(told ? targets.reportValidUntil[t] : again);
        return told;
    }

    private double expected(int t) {
        long oldAt = t < 0 ? now : targets.lastAnswerAt[t] + LONGEST_TRIAL * shortestAgreed + 1;
        boolean old = t >= 0 && now >= oldAt;
        againAt(old ? again : oldAt);
        double usual =
                t < 0 || targets.probeSentAt[t] > 0 ? 0 : old ? aloneLag : targets.latencyMicros[t];
        return isTold(t) ? targets.queueDelayMicros[t] + aloneLag : usual;
    }

    /**
     * Whether an access may join what is said to wait at the target; the draw keeps hosts out of
     * step.
     */
    private boolean fits(PendingRequest request, int t) {
        double part = isOwed(request) ? JOIN_OWED : JOIN_OTHERS * targets.joinThreshold[t];
        return !isTold(t) || targets.queueDelayMicros[t] <= part * shortestAgreed;
    }

    /**
     * One base batch by least finish tag, beside each of it the inserts that may join; false if
     * empty.
     */
    private boolean batch(ShardQueue shardQueue) {
        int room = roomAt(shardQueue);
        int most = Math.min(BASE_BATCH, (room + 1) / 2);
        List<PendingRequest> base = new ArrayList<>();
        if (most <= 0) {
            return false; // no room, or nobody holds the shard
        }
        for (FlowQueue flow = leastFinish(shardQueue);
                base.size() < most && flow != null;
                flow = leastFinish(shardQueue)) {
            PendingRequest request = sendable(shardQueue, flow);
            shardQueue.virtualTime = flow.startTag;
            flow.startTag = flow.finishTag;
            dispatchQueue.dequeue(request);
            base.add(request);
        }
        room -= base.size();
        for (PendingRequest request : base) {
            if (!relay(request, shardQueue.target)) {
                enqueue(request); // one before it took the last of a limit or of a cold target's
                // part
            }
            for (PendingRequest beside = insert(shardQueue, request, room);
                    beside != null;
                    beside = insert(shardQueue, request, room)) {
                relay(beside, shardQueue.target);
                room--;
            }
        }
        return !base.isEmpty();
    }

    /**
     * The least finish tag among volumes owed part of their reserve; if none is, among all. Guards
     * reserves where many ask for more; could harm the shares by weight if reserves took the whole
     * node for long.
     */
    private FlowQueue leastFinish(ShardQueue shardQueue) {
        shardQueue.refresh(now);
        while (!shardQueue.belowReservation.isEmpty()) {
            FlowQueue flow = shardQueue.belowReservation.first();
            again = IndexedTimerQueue.NEVER;
            PendingRequest request = sendable(shardQueue, flow);
            if (request != null && isOwed(request)) {
                return flow;
            }
            shardQueue.park(flow, request != null, again);
        }
        while (!shardQueue.ready.isEmpty()) {
            FlowQueue flow = shardQueue.ready.first();
            again = IndexedTimerQueue.NEVER;
            if (sendable(shardQueue, flow) != null) {
                return flow;
            }
            shardQueue.park(flow, false, again);
        }
        return null;
    }

    private PendingRequest sendable(ShardQueue shardQueue, FlowQueue flow) {
        int t = shardQueue.target;
        return flow.firstMatching(request -> mayRelay(request, t) && fits(request, t));
    }

    /**
     * What this host owes a volume of its reserve: at most a second, and an access of twice the
     * mean.
     */
    private boolean isOwed(PendingRequest request) {
        double rate = request.reservationRate(), units = request.received.units();
        double missing =
                units - level(request.volume.reservationBucket, rate, reserveDepth(request));
        boolean bySize =
                units > reserveDepth(request)
                        && units <= rate + 2 * unitsMost.bound
                        && (rate > 0
                                || request.volume.reservationBucket != null
                                        && request.volume.reservationBucket.units >= units);
        againAt(missing <= 0 ? again : bySize ? now : filledAt(missing, rate));
        return missing <= 0;
    }

    private long filledAt(double missing, double rate) {
        return rate > 0
                ? now + (long) Math.min(missing / rate * 1e6, 1e15) - 1
                : IndexedTimerQueue.NEVER;
    }

    private double reserveDepth(PendingRequest request) {
        return request.reservationRate() + 2 * meanUnits;
    }

    private PendingRequest insert(ShardQueue shardQueue, PendingRequest beside, int room) {
        String extent = beside.received.extent();
        if (room <= 0 || extent == null || beside.requestClass.keyOrdered()) {
            return null;
        }
        for (PendingRequest request : shardQueue.byExtent.getOrDefault(extent, NONE)) {
            FlowQueue flow = request.flow;
            if (mayRelay(request, shardQueue.target)
                    && fits(request, shardQueue.target)
                    && withinMargin(shardQueue, flow, flow.tagStep(request))) {
                shardQueue.removeFromOrders(flow);
                flow.extraTag += flow.tagStep(request);
                dispatchQueue.dequeue(request);
                return request;
            }
        }
        return null;
    }

    /**
     * Whether the widest gap of waiting volumes' extra tags stays within the margin after one step.
     */
    private boolean withinMargin(ShardQueue shardQueue, FlowQueue one, double step) {
        return shardQueue.extraTagGap(one, step)
                <= MARGIN_STEPS * meanUnits / shardQueue.minimumWeight();
    }

    private int roomAt(ShardQueue shardQueue) {
        int t = shardQueue.target;
        int trial = t >= 0 && targets.trialAllowed[t] ? 1 : 0;
        return t < 0 || targets.nextTrialAt[t] > 0
                ? trial
                : (int) targets.concurrencyLimit[t] - targets.inFlight[t];
    }

    // ---- The rules: every send passes relay, which asks mayRelay ----

    private boolean relay(PendingRequest request, int t) {
        if (!mayRelay(request, t)) {
            return false;
        }
        if (request.attempts > 0) {
            further.add(now, now - bounds.retryWindowMicros());
            noticeBudget();
        } else if (request.hasRateLimit()) {
            drawOnLimit(request);
        }
        drawOnReserve(request);
        if (isCold(t)) {
            targets.warmUpSends.get(t).addLast(new WarmUpSend(now, request.received.units()));
            targets.reportValidUntil[t] = 0;
            dispatchQueue.invalidate(nodeOf(t));
        }
        targets.lastAnswerAt[t] =
                targets.inFlight[t] == 0 && targets.nextTrialAt[t] == 0
                        ? now
                        : targets.lastAnswerAt[t];
        targets.trialAllowed[t] = false;
        request.attempts++;
        request.presumedLost = false;
        request.inFlightTarget = t;
        request.inFlightIncarnation = targets.incarnation[t];
        request.sentAt = now;
        targets.inFlight[t]++;
        targets.inFlightRequests.get(t).add(request);
        watch(t);
        todo.add(new Action.SendAttempt(request.received.id(), request.deadlineAt, targets.id[t]));
        return true;
    }

    private boolean mayRelay(PendingRequest request, int t) {
        boolean inTime = !request.answered && now < request.deadlineAt - ANSWER_AHEAD;
        againAt(inTime ? request.deadlineAt - ANSWER_AHEAD : again);
        return t >= 0
                && targets.usable[t]
                && inTime
                && noSecondEffect(request, t)
                && coldBears(request, t)
                && itsTurn(request)
                && withinBudget(request)
                && withinLimit(request);
    }

    private boolean noSecondEffect(PendingRequest request, int t) {
        if (request.inFlightTarget >= 0 || request.attempts >= given.capabilities().maxAttempts()) {
            return false;
        }
        boolean sameGroup =
                request.executedOn < 0
                        || switch (request.requestClass.deduplicationScope()) {
                            case ALL -> true;
                            case ZONE -> targets.zone[t].equals(targets.zone[request.executedOn]);
                            case CELL -> targets.shardOf[t] == targets.shardOf[request.executedOn];
                        };
        return mayRunAgain(request)
                && (sameGroup || request.requestClass.idempotency() == Idempotency.IDEMPOTENT);
    }

    private boolean mayRunAgain(PendingRequest request) {
        long until = request.executedSince + request.requestClass.deduplicationWindowMicros();
        boolean stamped =
                request.executedOn >= 0
                        && request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && now < until;
        againAt(stamped ? until : again);
        return request.executedOn < 0
                || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || stamped;
    }

    boolean isCold(int t) {
        return bounds.overloadWindowMicros() > 0
                && targets.startedAt[t] > 0
                && now < targets.startedAt[t] + bounds.warmUpMicros();
    }

    /**
     * This initiator's even part of what a cold target bears; a former life may have sent all of
     * it. It may have more if a probe just told how little waits: what all sent was then served,
     * within its capacity.
     */
    private boolean coldBears(PendingRequest request, int t) {
        if (!isCold(t)) {
            return true;
        }
        double queue = COLD_QUEUE * (bounds.overloadFactor() - 1) * bounds.overloadWindowMicros();
        if (probesTell && isTold(t) && targets.queueDelayMicros[t] <= queue) {
            return true;
        }
        againAt(targets.startedAt[t] + bounds.warmUpMicros());
        if (now < startedAt + bounds.overloadWindowMicros() && targets.startedAt[t] < startedAt) {
            againAt(startedAt + bounds.overloadWindowMicros());
            return false;
        }
        double missing =
                targets.warmUpUnitsSince(t, now - bounds.overloadWindowMicros())
                        + request.received.units()
                        - coldPart(t);
        againAt(targets.oldestWarmUpSendAt(t) + bounds.overloadWindowMicros());
        againAt(missing > 0 ? filledAt(missing, coldGrowth()) : again);
        return missing <= 0;
    }

    /** By how much a second the part grows while a target warms. */
    private double coldGrowth() {
        double share = bounds.initialFraction();
        double grown = share > 0 ? (1 - share) / share / bounds.warmUpMicros() : 0;
        return 1e6 * bounds.warmUpBudgetUnits() * grown / Math.max(1, given.initiatorCount());
    }

    /**
     * The bound grows as the target warms, which is never slower than evenly; the window's start
     * counts.
     */
    private double coldPart(int t) {
        double share = bounds.initialFraction();
        double warmed =
                Math.max(0, now - bounds.overloadWindowMicros() - targets.startedAt[t])
                        / (double) bounds.warmUpMicros();
        double grown = share > 0 ? (share + (1 - share) * warmed) / share : 1;
        return bounds.warmUpBudgetUnits() * grown / Math.max(1, given.initiatorCount());
    }

    private boolean itsTurn(PendingRequest request) {
        KeySequence sequence = turnsOf(request);
        boolean first = sequence == null || sequence.requests.first() == request;
        againAt(
                sequence != null && first && now < sequence.quietUntil
                        ? sequence.quietUntil
                        : again);
        return first && (sequence == null || now >= sequence.quietUntil);
    }

    private KeySequence turnsOf(PendingRequest request) {
        return request.requestClass.keyOrdered() && request.received.extent() != null
                ? turns.get(request.received.extent())
                : null;
    }

    private boolean withinBudget(PendingRequest request) {
        if (request.attempts > 0 && bounds.retryWindowMicros() > 0) {
            dispatchQueue.markRetryBudgetDependent(request.shardQueue);
        }
        return request.attempts == 0 || budgetLeft();
    }

    private void noticeBudget() {
        if (budgetLeft() != hadBudget) {
            hadBudget = !hadBudget;
            dispatchQueue.retryBudgetChanged();
        }
    }

    private boolean budgetLeft() {
        long since = now - bounds.retryWindowMicros();
        return bounds.retryWindowMicros() == 0
                || further.countSince(since) + 1
                        <= bounds.freeRetries() + bounds.retryShare() * taken.countSince(since);
    }

    private boolean withinLimit(PendingRequest request) {
        double missing =
                request.attempts > 0 || !request.hasRateLimit()
                        ? 0
                        : request.received.units() - limitLeft(request);
        if (missing > 0) {
            againAt(
                    dispatchQueue.limitBucket(request).isPlanOf(request.received)
                            ? filledAt(missing, request.limitRate())
                            : now);
        }
        return missing <= 0;
    }

    /**
     * A store follows the plan and hosts that are asked with: the time before is paid as those
     * were.
     */
    private void openLimit(PendingRequest request) {
        settle(dispatchQueue.limitBucket(request));
        follow(dispatchQueue.limitBucket(request), request);
    }

    private void follow(TokenBucket bucket, PendingRequest request) {
        if (request.volume.hasMixedPlans
                || request.hasRateLimit() && request.reservationRate() > 0) {
            dispatchQueue.invalidate(request.volume);
        }
        bucket.usePlanOf(request.received);
    }

    private double limitLeft(PendingRequest request) {
        TokenBucket bucket = dispatchQueue.limitBucket(request);
        double whole =
                bucket.isPlanOf(request.received)
                        ? level(bucket, request.limitRate(), limitDepth(request))
                        : settled(bucket);
        return Math.min(limitDepth(request), whole);
    }

    private void drawOnLimit(PendingRequest request) {
        TokenBucket bucket = dispatchQueue.limitBucket(request);
        bucket.set(limitLeft(request) - request.received.units(), now);
        follow(bucket, request);
    }

    private static double limitDepth(PendingRequest request) {
        return limitDepth(request.plan) / request.initiatorCount();
    }

    private static double limitDepth(ServicePlan plan) {
        return plan.limitBurst() + SLACK_USED * plan.limitSlack();
    }

    /** What a reserve holds, for accesses of up to eight times the mean. */
    private double reserveHolds(TokenBucket bucket) {
        double rate = plans.containsKey(bucket.plan) ? plans.get(bucket.plan).reservationRate() : 0;
        return level(bucket, rate, 8 * (rate + 2 * meanUnits));
    }

    /** What a store holds now. It is filled by time alone: to look at it changes nothing. */
    private double level(TokenBucket bucket, double rate, double depth) {
        double units = bucket == null ? 0 : bucket.units;
        return Math.min(
                depth,
                units
                        + rate
                                * (now - Math.max(bucket == null ? 0 : bucket.updatedAt, startedAt))
                                / 1e6);
    }

    private void drawOnReserve(PendingRequest request) {
        TokenBucket bucket = request.volume.reservationBucketFor(request.received);
        bucket.set(
                Math.max(
                        0,
                        level(bucket, request.reservationRate(), reserveDepth(request))
                                - request.received.units()),
                now);
        follow(bucket, request);
    }

    // ---- Outcomes ----

    private void ended(Event.AttemptEnded e) {
        PendingRequest request = held.get(e.id());
        if (request == null
                || request.inFlightTarget < 0
                || request.attempts - 1 != e.attemptNumber()) {
            return;
        }
        int t = request.inFlightTarget;
        request.inFlightTarget = -1;
        targets.inFlightRequests.get(t).remove(request);
        giveRoom(request, t);
        judge(t, request, e);
        watch(t);
        boolean mayStillRun = MAY_STILL_RUN.contains(e.outcome());
        KeySequence sequence = turnsOf(request);
        if (sequence != null && mayStillRun) {
            sequence.quietUntil = Math.max(sequence.quietUntil, now + bounds.keyQuietMicros());
        }
        if (request.executedOn < 0 && (mayStillRun || e.outcome() == Outcome.ERROR)) {
            request.executedOn = t;
            request.executedSince = request.sentAt;
        }
        double success = e.outcome() == Outcome.SUCCEEDED ? 1 : 0;
        furtherSuccess += request.attempts > 1 ? SMOOTHING * (success - furtherSuccess) : 0;
        if (e.answered() || request.answered) {
            leave(request);
        } else if (worthAnother(request, t)) {
            request.shardQueue =
                    request.received.shard() < 0 && request.executedOn < 0
                            ? draw()
                            : request.shardQueue;
            enqueue(request);
        } else {
            giveUp(request);
        }
    }

    private void giveRoom(PendingRequest request, int t) {
        targets.inFlight[t] -=
                !request.presumedLost && request.inFlightIncarnation == targets.incarnation[t]
                        ? 1
                        : 0;
        dispatchQueue.markForService(nodeOf(t));
    }

    private void judge(int t, PendingRequest request, Event.AttemptEnded e) {
        switch (e.outcome()) {
            case SUCCEEDED -> succeeded(t, request, e.latencyMicros());
            case ERROR -> heard(t);
            case OVERLOADED -> {
                heard(t);
                late(t, request, shortestAgreed);
            }
            case TIMED_OUT -> late(t, request, shortestAgreed);
            case NO_CONNECTION -> fallSilent(t);
        }
    }

    private void succeeded(int t, PendingRequest request, long took) {
        heard(t);
        targets.newestAnsweredSentAt[t] = Math.max(targets.newestAnsweredSentAt[t], request.sentAt);
        if (now == resumedAt) {
            return;
        }
        if (aloneLag == 0 || isTold(t) && targets.queueDelayMicros[t] < aloneLag) {
            double part =
                    took < aloneLag ? SMOOTHING : SMOOTHING / 8; // slow ones had others before them
            aloneLag += (took - aloneLag) * (aloneLag == 0 ? 1 : part);
        }
        targets.lastLatencyMicros[t] = took;
        targets.latencyMicros[t] +=
                (took - targets.latencyMicros[t]) * (targets.latencyMicros[t] == 0 ? 1 : SMOOTHING);
        if (took > LATE_PART * shortestAgreed) {
            late(t, request, took);
        } else {
            targets.backoffMicros[t] /= 2;
            lateShare -= SMOOTHING * lateShare;
            targets.concurrencyLimit[t] =
                    Math.min(
                            WINDOW_CEILING,
                            targets.concurrencyLimit[t] + 1 / targets.concurrencyLimit[t]);
        }
    }

    /**
     * Halves once a round trip: what was sent before the last halving tells of the time before it.
     * Among a crowd, a refusal, a time-out or far too late an answer while hardly anything of its
     * own is out tells of a queue that others fill: the target then rests, ever longer, for what
     * does not fit. Could harm where answers are late by chance.
     */
    private void late(int t, PendingRequest request, long took) {
        if (request.sentAt < targets.limitReducedAt[t]) {
            return;
        }
        if (crowd && took > shortestAgreed / 2 && targets.inFlight[t] < 2) {
            long rest = Math.max(shortestAgreed / 2, 2 * targets.backoffMicros[t]);
            targets.backoffMicros[t] = Math.min(LONGEST_TRIAL * shortestAgreed, rest);
            told(t, took, targets.backoffMicros[t]);
        }
        targets.concurrencyLimit[t] = Math.max(1, targets.concurrencyLimit[t] / 2);
        targets.limitReducedAt[t] = now;
    }

    private void told(int t, double waits, long holds) {
        targets.queueDelayMicros[t] = waits;
        targets.reportValidUntil[t] = now + holds;
        targets.joinThreshold[t] = chance.nextDouble();
        dispatchQueue.invalidate(nodeOf(t));
        lateShare += SMOOTHING * ((waits > shortestAgreed / 2 ? 1 : 0) - lateShare);
    }

    private void heard(int t) {
        targets.lastAnswerAt[t] = now;
        targets.nextTrialAt[t] = 0;
    }

    /**
     * A target that owes answers and gave none for far longer than of late gets trials, ever later.
     */
    private void watchForSilence(int t) {
        long quiet =
                Math.max(now - Math.max(resumedAt, targets.lastAnswerAt[t]), shortestAgreed / 2);
        if (targets.nextTrialAt[t] == 0 && targets.inFlight[t] > 0 && quiet > patience(t)) {
            fallSilent(t);
        } else if (targets.nextTrialAt[t] > 0 && now >= targets.nextTrialAt[t]) {
            targets.nextTrialAt[t] = now + Math.min(quiet, LONGEST_TRIAL * shortestAgreed);
            targets.trialAllowed[t] = !given.capabilities().canProbe();
            dispatchQueue.markForService(nodeOf(t));
            if (!targets.trialAllowed[t] && targets.usable[t]) {
                todo.add(new Action.SendProbe(targets.id[t]));
            }
        }
    }

    private double patience(int t) {
        return Math.max(
                shortestAgreed / 2,
                PATIENCE * Math.max(targets.latencyMicros[t], targets.lastLatencyMicros[t]));
    }

    /**
     * A relay that later ones overtook long ago is presumed lost. Guards the window against
     * whatever vanishes one by one. Could harm where a target serves in no order; so one-shot
     * accesses are let wait.
     */
    private void watchForLoss(PendingRequest request) {
        int t = request.inFlightTarget;
        boolean overtaken =
                t >= 0 && !request.presumedLost && targets.newestAnsweredSentAt[t] > request.sentAt;
        double size = overtaken ? Math.max(1, request.received.units() / meanUnits) : 0;
        if (overtaken
                && now - Math.max(resumedAt, request.sentAt)
                        > PATIENCE * targets.latencyMicros[t] * size) {
            giveRoom(request, t);
            targets.inFlightRequests.get(t).remove(request);
            request.presumedLost = true;
            if (given.capabilities().canCancel()
                    && request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT) {
                todo.add(new Action.CancelAttempt(request.received.id(), request.attempts - 1));
            }
        }
    }

    /**
     * Guards against a target that hangs, pauses long, is down or cannot be reached, whatever the
     * list says; any answer ends it. Could harm where single connections fail by chance.
     */
    private void fallSilent(int t) {
        if (targets.nextTrialAt[t] == 0) {
            targets.nextTrialAt[t] = now;
            targets.trialAllowed[t] = false;
            dispatchQueue.markForService(nodeOf(t));
        }
    }

    /** A probe may be answered beside the work, so its success only lets one access try. */
    private void probed(Event.ProbeEnded e) {
        int t = indexOf.get(e.target());
        boolean answered = e.outcome() == Outcome.SUCCEEDED;
        targets.trialAllowed[t] |= answered;
        targets.probeSentAt[t] = 0;
        boolean tells =
                e.queueLength() >= 0 || answered && aloneLag > 0 && e.latencyMicros() > aloneLag;
        if (tells && !probesTell) {
            probesTell = true;
            dispatchQueue.invalidateAll(); // cold targets may now bear more
        }
        double unanswered = isCold(t) ? shortestAgreed : 0;
        told(
                t,
                answered ? Math.max(e.latencyMicros(), e.queueLength() * aloneLag) : unanswered,
                shortestAgreed / 2);
    }

    /** Further relays are made as often as recent ones succeeded. */
    private boolean worthAnother(PendingRequest request, int t) {
        boolean inTime = now + targets.latencyMicros[t] < request.objectiveAt;
        return mayRunAgain(request)
                && request.attempts < given.capabilities().maxAttempts()
                && inTime
                && chance.nextDouble() < Math.max(LEAST_FURTHER, furtherSuccess);
    }

    // ---- Final answers ----

    private void giveUp(PendingRequest request) {
        Idempotency kind = request.requestClass.idempotency();
        boolean dropsRepeats =
                kind == Idempotency.IDEMPOTENCY_KEY
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        boolean harmless = request.executedOn < 0 || kind == Idempotency.IDEMPOTENT || dropsRepeats;
        String id = request.received.id();
        todo.add(
                harmless
                        ? new Action.Reject(id, advice(request.shardQueue.target))
                        : new Action.Fail(id));
        leave(request);
    }

    private long advice(int t) {
        long trial = t < 0 ? now + shortestAgreed : targets.nextTrialAt[t];
        long wait = trial > 0 ? trial - now : (long) targets.latencyMicros[t];
        Capabilities may = given.capabilities();
        return may.canSuggestRetryAfter()
                ? Math.max(1, Math.min(may.maxRetryAfterMicros(), wait))
                : 0;
    }

    private void leave(PendingRequest request) {
        request.answered = true;
        dispatchQueue.dequeue(request);
        if (request.inFlightTarget < 0) {
            held.remove(request.received.id());
            request.volume.pendingCount--;
            KeySequence sequence = turnsOf(request);
            if (sequence != null) {
                dispatchQueue.removeFromKey(sequence, request);
                if (sequence.requests.isEmpty()) {
                    forgetting.scheduleKeyCheck(sequence);
                }
            }
        }
    }
}
