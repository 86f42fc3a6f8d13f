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

    private static final TreeSet<PendingRequest> NONE = new TreeSet<>(PendingRequest.AT_NODE);
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

    final DispatchQueue agenda = new DispatchQueue();

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
                    agenda,
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
        forgetting.turn(now, happened.size());
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
        given.plans().forEach(p -> agenda.unseen(p.name(), now));
    }

    /**
     * New plans hold from now on, for what waits too. A limit's store is filled by the plan it had,
     * and then holds no more than the new one allows. Guards rule 7 against a limit lowered and
     * raised again, which would fill it at once, and against past time paid at a higher rate. Harms
     * none but a volume whose limit rises: its store fills as time goes on.
     */
    private void reprovision(SchedulerSettings next) {
        agenda.limits().forEach(this::settle);
        provision(next);
        agenda.limits().forEach(this::settle);
        held.values().forEach(h -> h.plan = plans.get(h.access.plan()));
        agenda.nodes().forEach(ShardQueue::reweigh);
        agenda.upsetAll();
        targets.due.all(targets.count, now);
    }

    private void settle(TokenBucket s) {
        s.set(settled(s), now);
    }

    double settled(TokenBucket s) {
        ServicePlan plan = plans.get(s.plan);
        boolean limited = plan != null && plan.limitRate() > 0;
        return limited ? level(s, plan.limitRate() / s.hosts, limitDepth(plan) / s.hosts) : s.units;
    }

    private void arrangeWake() {
        long look =
                held.isEmpty()
                        ? Long.MAX_VALUE
                        : now + (agenda.waiting > 0 ? LOOK_WAITING : LOOK_IDLE);
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
        (part ? e.targets().stream().map(t -> agenda.node(t.shard())) : agenda.nodes().stream())
                .forEach(this::findHolder);
    }

    // ---- What is to be looked at again, when ----

    private void againAt(long time) {
        again = Math.min(again, time);
    }

    /** The node that a target holds, or would. */
    private ShardQueue nodeOf(int t) {
        return agenda.node(targets.shardOf[t]);
    }

    /**
     * Times are set with more than the means of now; once one outgrows that, all is looked at
     * again.
     */
    private void noticeDrift() {
        boolean grown = aloneMost.outgrownBy(aloneLag, now) | unitsMost.outgrownBy(meanUnits, now);
        if (grown || suspected != lateShare >= SUSPECT) {
            suspected = lateShare >= SUSPECT;
            agenda.upsetAll();
            targets.due.all(targets.count, now);
        }
    }

    /**
     * When this target is next to be asked after: no later than it can be silent, or a relay to it
     * lost.
     */
    private void watch(int t) {
        long silent = Math.max(resumedAt, targets.heardAt[t]) + (long) patience(t) + 1;
        long due = targets.out[t] > 0 ? silent : IndexedTimerQueue.NEVER;
        due = targets.nextTrial[t] > 0 ? targets.nextTrial[t] : due;
        for (PendingRequest h : targets.outs.get(t)) {
            double most =
                    PATIENCE * targets.lag[t] * Math.max(1, h.access.units() / unitsMost.most);
            boolean overtaken = targets.answeredSent[t] > h.sentAt;
            due = overtaken ? Math.min(due, Math.max(resumedAt, h.sentAt) + (long) most) : due;
        }
        targets.due.set(t, due);
    }

    private void watchOwing() {
        int[] due = targets.due.due(now);
        List<PendingRequest> owed = new ArrayList<>();
        for (int t : due) {
            watchForSilence(t);
            owed.addAll(targets.outs.get(t));
        }
        owed.sort(PendingRequest.BY_TAKING);
        owed.forEach(this::watchForLoss);
        for (int t : due) {
            watch(t);
        }
    }

    private void serveNodes() {
        agenda.come(now);
        noticeBudget();
        for (ShardQueue n = agenda.next(null); n != null; n = agenda.next(n)) {
            serve(n);
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
        ShardQueue before = targets.life[t] == 0 ? agenda.node(target.shard()) : nodeOf(t);
        targets.relist(t, target);
        before.listed.remove(t);
        nodeOf(t).listed.add(t);
        findHolder(before);
        targets.usable[t] = target.health() == Event.Health.ACTIVE;
        if (targets.life[t] == 0 || target.startedAtMicros() > targets.launched[t]) {
            targets.launched[t] = target.startedAtMicros();
            targets.renew(t, FIRST_WINDOW);
        }
        watch(t);
    }

    private void findHolder(ShardQueue node) {
        node.target = -1;
        for (int t : node.listed) {
            boolean newer = node.target < 0 || targets.launched[t] >= targets.launched[node.target];
            node.target = targets.usable[t] && newer ? t : node.target;
        }
        agenda.upset(node);
    }

    // ---- Taking ----

    private void take(Event.RequestReceived e) {
        RequestClass category = categories.get(e.requestClass());
        PendingRequest h =
                new PendingRequest(
                        e, takenInAll++, category, agenda.volume(e, now), plans.get(e.plan()));
        h.abandonAt = now + e.timeLeftMicros();
        long longest = longestTtl.merge(category.name(), e.timeLeftMicros(), Math::max);
        boolean impatient =
                e.timeLeftMicros()
                        < category
                                .latencyObjectiveMicros(); // a repeat that late would hardly be in
        // time
        h.firstTaken = impatient ? now : now - (longest - e.timeLeftMicros());
        h.agreedAt =
                Math.min(
                        h.firstTaken + category.latencyObjectiveMicros(),
                        h.abandonAt - ANSWER_AHEAD);
        held.put(e.id(), h);
        taken.add(now, now - bounds.retryWindowMicros());
        if (h.hasLimit()) {
            openLimit(h);
        }
        meanUnits += (e.units() - meanUnits) * (meanUnits == 0 ? 1 : SMOOTHING);
        if (category.keyOrdered() && e.extent() != null) {
            turns.computeIfAbsent(e.extent(), k -> new KeySequence(k)).order.add(h);
        }
        h.node = e.shard() < 0 ? draw() : agenda.node(e.shard());
        enqueue(h);
    }

    /**
     * A new object goes to a target drawn at random, odds in step with the room each is thought to
     * have.
     */
    private ShardQueue draw() {
        for (int lot = 0; agenda.places() > LOTS && lot < LOTS; lot++) { // same odds, not over all
            ShardQueue n = agenda.lot(chance);
            if (n != null && chance.nextDouble() * WINDOW_CEILING < room(n)) {
                return n;
            }
        }
        double left = chance.nextDouble() * agenda.nodes().stream().mapToDouble(this::room).sum();
        ShardQueue drawn = null;
        for (ShardQueue n : agenda.nodes()) {
            drawn = drawn == null || left > 0 && room(n) > 0 ? n : drawn;
            left -= room(n);
        }
        return drawn == null ? agenda.node(0) : drawn;
    }

    private double room(ShardQueue n) {
        int t = n.target;
        boolean none = t < 0 || targets.nextTrial[t] > 0 || isCold(t);
        double others = isTold(t) ? targets.crowd[t] / Math.max(1, aloneLag) : 0;
        return none ? 0 : targets.window[t] / (1 + targets.out[t] + n.waiting + others);
    }

    private void enqueue(PendingRequest h) {
        ShardQueue node = h.node;
        FlowQueue r = agenda.reservation(node, h.volume, now);
        if (r.queue.isEmpty()) {
            r.start = Math.max(node.virtualTime, r.finish);
            r.extra =
                    node.byExtra.isEmpty()
                            ? r.extra
                            : Math.max(r.extra, node.byExtra.first().extra);
        }
        agenda.queue(h, r);
    }

    // ---- Serving a node ----

    /**
     * What can no longer be answered in its agreed time takes the room that is left, unless others
     * need it (a crowd, a limit), or gets its answer at once. Guards against a backlog of any cause
     * that would make all that comes after it late too. Could harm where the lag is thought longer
     * than it is.
     */
    private void serve(ShardQueue node) {
        boolean asking = mustAsk(node.target);
        List<PendingRequest> late = node.lateBy(now + expected(node.target));
        late.forEach(agenda::unqueue);
        while (!asking && batch(node)) {
            continue;
        }
        for (PendingRequest h : late) {
            boolean room = !asking && roomAt(node) > 0 && fits(h, node.target);
            boolean spares = now <= h.agreedAt || !crowd && (h.relays > 0 || !h.hasLimit());
            if (!room || !spares || !relay(h, node.target)) {
                giveUp(h);
            }
        }
        arrangeServing(node, asking);
    }

    /**
     * When time alone may change what was just done here: lateness, a cold time's end, what is
     * parked.
     */
    private void arrangeServing(ShardQueue node, boolean asking) {
        again = IndexedTimerQueue.NEVER;
        double expected = expected(node.target) + aloneMost.most - aloneLag;
        if (node.target >= 0 && isCold(node.target)) {
            againAt(targets.launched[node.target] + bounds.warmUpMicros());
        }
        if (!asking && !node.parked.isEmpty() && roomAt(node) > 0) {
            againAt(node.parked.first().lookAt);
        }
        long late =
                node.byAgreed.isEmpty()
                        ? again
                        : (long) (node.byAgreed.first().agreedAt - expected);
        agenda.due(node, Math.min(again, late));
    }

    /**
     * Whether to wait for a probe, sent now if the last one is old. Where answers come late among a
     * crowd, one goes first: each hears too seldom of the queue that windows of one fill. Guards
     * against any load that others bring; could harm where probes are dear, or answered later than
     * work.
     */
    private boolean mustAsk(int t) {
        boolean answers = given.capabilities().canProbe() && t >= 0 && targets.nextTrial[t] == 0;
        boolean suspect = answers && (lateShare >= SUSPECT || isCold(t));
        if (suspect && targets.askedAt[t] == 0 && !isTold(t)) {
            targets.askedAt[t] = now;
            todo.add(new Action.SendProbe(targets.id[t]));
        }
        return suspect && targets.askedAt[t] > 0;
    }

    boolean isTold(int t) {
        boolean told = t >= 0 && now < targets.toldUntil[t];
        againAt(told ? targets.toldUntil[t] : again);
        return told;
    }

    private double expected(int t) {
        long oldAt = t < 0 ? now : targets.heardAt[t] + LONGEST_TRIAL * shortestAgreed + 1;
        boolean old = t >= 0 && now >= oldAt;
        againAt(old ? again : oldAt);
        double usual = t < 0 || targets.askedAt[t] > 0 ? 0 : old ? aloneLag : targets.lag[t];
        return isTold(t) ? targets.crowd[t] + aloneLag : usual;
    }

    /**
     * Whether an access may join what is said to wait at the target; the draw keeps hosts out of
     * step.
     */
    private boolean fits(PendingRequest h, int t) {
        double part = isOwed(h) ? JOIN_OWED : JOIN_OTHERS * targets.bar[t];
        return !isTold(t) || targets.crowd[t] <= part * shortestAgreed;
    }

    /**
     * One base batch by least finish tag, beside each of it the inserts that may join; false if
     * empty.
     */
    private boolean batch(ShardQueue node) {
        int room = roomAt(node);
        int most = Math.min(BASE_BATCH, (room + 1) / 2);
        List<PendingRequest> base = new ArrayList<>();
        if (most <= 0) {
            return false; // no room, or nobody holds the shard
        }
        for (FlowQueue r = leastFinish(node);
                base.size() < most && r != null;
                r = leastFinish(node)) {
            PendingRequest h = sendable(node, r);
            node.virtualTime = r.start;
            r.start = r.finish;
            agenda.unqueue(h);
            base.add(h);
        }
        room -= base.size();
        for (PendingRequest h : base) {
            if (!relay(h, node.target)) {
                enqueue(h); // one before it took the last of a limit or of a cold target's part
            }
            for (PendingRequest beside = insert(node, h, room);
                    beside != null;
                    beside = insert(node, h, room)) {
                relay(beside, node.target);
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
    private FlowQueue leastFinish(ShardQueue node) {
        node.refresh(now);
        while (!node.owed.isEmpty()) {
            FlowQueue r = node.owed.first();
            again = IndexedTimerQueue.NEVER;
            PendingRequest h = sendable(node, r);
            if (h != null && isOwed(h)) {
                return r;
            }
            node.park(r, h != null, again);
        }
        while (!node.ready.isEmpty()) {
            FlowQueue r = node.ready.first();
            again = IndexedTimerQueue.NEVER;
            if (sendable(node, r) != null) {
                return r;
            }
            node.park(r, false, again);
        }
        return null;
    }

    private PendingRequest sendable(ShardQueue node, FlowQueue r) {
        int t = node.target;
        return r.first(h -> mayRelay(h, t) && fits(h, t));
    }

    /**
     * What this host owes a volume of its reserve: at most a second, and an access of twice the
     * mean.
     */
    private boolean isOwed(PendingRequest h) {
        double rate = h.reserve(), units = h.access.units();
        double missing = units - level(h.volume.reserve, rate, reserveDepth(h));
        boolean bySize =
                units > reserveDepth(h)
                        && units <= rate + 2 * unitsMost.most
                        && (rate > 0
                                || h.volume.reserve != null && h.volume.reserve.units >= units);
        againAt(missing <= 0 ? again : bySize ? now : filledAt(missing, rate));
        return missing <= 0;
    }

    private long filledAt(double missing, double rate) {
        return rate > 0
                ? now + (long) Math.min(missing / rate * 1e6, 1e15) - 1
                : IndexedTimerQueue.NEVER;
    }

    private double reserveDepth(PendingRequest h) {
        return h.reserve() + 2 * meanUnits;
    }

    private PendingRequest insert(ShardQueue node, PendingRequest beside, int room) {
        String extent = beside.access.extent();
        if (room <= 0 || extent == null || beside.category.keyOrdered()) {
            return null;
        }
        for (PendingRequest h : node.byExtent.getOrDefault(extent, NONE)) {
            FlowQueue r = h.reservation;
            if (mayRelay(h, node.target)
                    && fits(h, node.target)
                    && withinMargin(node, r, r.step(h))) {
                node.unfile(r);
                r.extra += r.step(h);
                agenda.unqueue(h);
                return h;
            }
        }
        return null;
    }

    /**
     * Whether the widest gap of waiting volumes' extra tags stays within the margin after one step.
     */
    private boolean withinMargin(ShardQueue node, FlowQueue one, double step) {
        return node.gap(one, step) <= MARGIN_STEPS * meanUnits / node.lightest();
    }

    private int roomAt(ShardQueue node) {
        int t = node.target;
        int trial = t >= 0 && targets.mayTry[t] ? 1 : 0;
        return t < 0 || targets.nextTrial[t] > 0 ? trial : (int) targets.window[t] - targets.out[t];
    }

    // ---- The rules: every send passes relay, which asks mayRelay ----

    private boolean relay(PendingRequest h, int t) {
        if (!mayRelay(h, t)) {
            return false;
        }
        if (h.relays > 0) {
            further.add(now, now - bounds.retryWindowMicros());
            noticeBudget();
        } else if (h.hasLimit()) {
            drawOnLimit(h);
        }
        drawOnReserve(h);
        if (isCold(t)) {
            targets.coldSpent.get(t).addLast(new WarmUpSend(now, h.access.units()));
            targets.toldUntil[t] = 0;
            agenda.upset(nodeOf(t));
        }
        targets.heardAt[t] =
                targets.out[t] == 0 && targets.nextTrial[t] == 0 ? now : targets.heardAt[t];
        targets.mayTry[t] = false;
        h.relays++;
        h.lost = false;
        h.outAt = t;
        h.outLife = targets.life[t];
        h.sentAt = now;
        targets.out[t]++;
        targets.outs.get(t).add(h);
        watch(t);
        todo.add(new Action.SendAttempt(h.access.id(), h.abandonAt, targets.id[t]));
        return true;
    }

    private boolean mayRelay(PendingRequest h, int t) {
        boolean inTime = !h.answered && now < h.abandonAt - ANSWER_AHEAD;
        againAt(inTime ? h.abandonAt - ANSWER_AHEAD : again);
        return t >= 0
                && targets.usable[t]
                && inTime
                && noSecondEffect(h, t)
                && coldBears(h, t)
                && itsTurn(h)
                && withinBudget(h)
                && withinLimit(h);
    }

    private boolean noSecondEffect(PendingRequest h, int t) {
        if (h.outAt >= 0 || h.relays >= given.capabilities().maxAttempts()) {
            return false;
        }
        boolean sameGroup =
                h.ranAt < 0
                        || switch (h.category.deduplicationScope()) {
                            case ALL -> true;
                            case ZONE -> targets.zone[t].equals(targets.zone[h.ranAt]);
                            case CELL -> targets.shardOf[t] == targets.shardOf[h.ranAt];
                        };
        return mayRunAgain(h) && (sameGroup || h.category.idempotency() == Idempotency.IDEMPOTENT);
    }

    private boolean mayRunAgain(PendingRequest h) {
        long until = h.ranSince + h.category.deduplicationWindowMicros();
        boolean stamped =
                h.ranAt >= 0
                        && h.category.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && now < until;
        againAt(stamped ? until : again);
        return h.ranAt < 0 || h.category.idempotency() == Idempotency.IDEMPOTENT || stamped;
    }

    boolean isCold(int t) {
        return bounds.overloadWindowMicros() > 0
                && targets.launched[t] > 0
                && now < targets.launched[t] + bounds.warmUpMicros();
    }

    /**
     * This initiator's even part of what a cold target bears; a former life may have sent all of
     * it. It may have more if a probe just told how little waits: what all sent was then served,
     * within its capacity.
     */
    private boolean coldBears(PendingRequest h, int t) {
        if (!isCold(t)) {
            return true;
        }
        double queue = COLD_QUEUE * (bounds.overloadFactor() - 1) * bounds.overloadWindowMicros();
        if (probesTell && isTold(t) && targets.crowd[t] <= queue) {
            return true;
        }
        againAt(targets.launched[t] + bounds.warmUpMicros());
        if (now < startedAt + bounds.overloadWindowMicros() && targets.launched[t] < startedAt) {
            againAt(startedAt + bounds.overloadWindowMicros());
            return false;
        }
        double missing =
                targets.spentAfter(t, now - bounds.overloadWindowMicros())
                        + h.access.units()
                        - coldPart(t);
        againAt(targets.firstSpent(t) + bounds.overloadWindowMicros());
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
                Math.max(0, now - bounds.overloadWindowMicros() - targets.launched[t])
                        / (double) bounds.warmUpMicros();
        double grown = share > 0 ? (share + (1 - share) * warmed) / share : 1;
        return bounds.warmUpBudgetUnits() * grown / Math.max(1, given.initiatorCount());
    }

    private boolean itsTurn(PendingRequest h) {
        KeySequence k = turnsOf(h);
        boolean first = k == null || k.order.first() == h;
        againAt(k != null && first && now < k.restUntil ? k.restUntil : again);
        return first && (k == null || now >= k.restUntil);
    }

    private KeySequence turnsOf(PendingRequest h) {
        return h.category.keyOrdered() && h.access.extent() != null
                ? turns.get(h.access.extent())
                : null;
    }

    private boolean withinBudget(PendingRequest h) {
        if (h.relays > 0 && bounds.retryWindowMicros() > 0) {
            agenda.restsOnBudget(h.node);
        }
        return h.relays == 0 || budgetLeft();
    }

    private void noticeBudget() {
        if (budgetLeft() != hadBudget) {
            hadBudget = !hadBudget;
            agenda.budgetTurned();
        }
    }

    private boolean budgetLeft() {
        long since = now - bounds.retryWindowMicros();
        return bounds.retryWindowMicros() == 0
                || further.after(since) + 1
                        <= bounds.freeRetries() + bounds.retryShare() * taken.after(since);
    }

    private boolean withinLimit(PendingRequest h) {
        double missing = h.relays > 0 || !h.hasLimit() ? 0 : h.access.units() - limitLeft(h);
        if (missing > 0) {
            againAt(agenda.limit(h).follows(h.access) ? filledAt(missing, h.limitRate()) : now);
        }
        return missing <= 0;
    }

    /**
     * A store follows the plan and hosts that are asked with: the time before is paid as those
     * were.
     */
    private void openLimit(PendingRequest h) {
        settle(agenda.limit(h));
        follow(agenda.limit(h), h);
    }

    private void follow(TokenBucket s, PendingRequest h) {
        if (h.volume.mixed || h.hasLimit() && h.reserve() > 0) {
            agenda.upset(h.volume);
        }
        s.follow(h.access);
    }

    private double limitLeft(PendingRequest h) {
        TokenBucket s = agenda.limit(h);
        double whole = s.follows(h.access) ? level(s, h.limitRate(), limitDepth(h)) : settled(s);
        return Math.min(limitDepth(h), whole);
    }

    private void drawOnLimit(PendingRequest h) {
        TokenBucket s = agenda.limit(h);
        s.set(limitLeft(h) - h.access.units(), now);
        follow(s, h);
    }

    private static double limitDepth(PendingRequest h) {
        return limitDepth(h.plan) / h.hosts();
    }

    private static double limitDepth(ServicePlan plan) {
        return plan.limitBurst() + SLACK_USED * plan.limitSlack();
    }

    /** What a reserve holds, for accesses of up to eight times the mean. */
    private double reserveHolds(TokenBucket s) {
        double rate = plans.containsKey(s.plan) ? plans.get(s.plan).reservationRate() : 0;
        return level(s, rate, 8 * (rate + 2 * meanUnits));
    }

    /** What a store holds now. It is filled by time alone: to look at it changes nothing. */
    private double level(TokenBucket s, double rate, double depth) {
        double units = s == null ? 0 : s.units;
        return Math.min(
                depth, units + rate * (now - Math.max(s == null ? 0 : s.at, startedAt)) / 1e6);
    }

    private void drawOnReserve(PendingRequest h) {
        TokenBucket s = h.volume.reserveFor(h.access);
        s.set(Math.max(0, level(s, h.reserve(), reserveDepth(h)) - h.access.units()), now);
        follow(s, h);
    }

    // ---- Outcomes ----

    private void ended(Event.AttemptEnded e) {
        PendingRequest h = held.get(e.id());
        if (h == null || h.outAt < 0 || h.relays - 1 != e.attemptNumber()) {
            return;
        }
        int t = h.outAt;
        h.outAt = -1;
        targets.outs.get(t).remove(h);
        giveRoom(h, t);
        judge(t, h, e);
        watch(t);
        boolean mayStillRun = MAY_STILL_RUN.contains(e.outcome());
        KeySequence k = turnsOf(h);
        if (k != null && mayStillRun) {
            k.restUntil = Math.max(k.restUntil, now + bounds.keyQuietMicros());
        }
        if (h.ranAt < 0 && (mayStillRun || e.outcome() == Outcome.ERROR)) {
            h.ranAt = t;
            h.ranSince = h.sentAt;
        }
        double success = e.outcome() == Outcome.SUCCEEDED ? 1 : 0;
        furtherSuccess += h.relays > 1 ? SMOOTHING * (success - furtherSuccess) : 0;
        if (e.answered() || h.answered) {
            leave(h);
        } else if (worthAnother(h, t)) {
            h.node = h.access.shard() < 0 && h.ranAt < 0 ? draw() : h.node;
            enqueue(h);
        } else {
            giveUp(h);
        }
    }

    private void giveRoom(PendingRequest h, int t) {
        targets.out[t] -= !h.lost && h.outLife == targets.life[t] ? 1 : 0;
        agenda.touch(nodeOf(t));
    }

    private void judge(int t, PendingRequest h, Event.AttemptEnded e) {
        switch (e.outcome()) {
            case SUCCEEDED -> succeeded(t, h, e.latencyMicros());
            case ERROR -> heard(t);
            case OVERLOADED -> {
                heard(t);
                late(t, h, shortestAgreed);
            }
            case TIMED_OUT -> late(t, h, shortestAgreed);
            case NO_CONNECTION -> fallSilent(t);
        }
    }

    private void succeeded(int t, PendingRequest h, long took) {
        heard(t);
        targets.answeredSent[t] = Math.max(targets.answeredSent[t], h.sentAt);
        if (now == resumedAt) {
            return;
        }
        if (aloneLag == 0 || isTold(t) && targets.crowd[t] < aloneLag) {
            double part =
                    took < aloneLag ? SMOOTHING : SMOOTHING / 8; // slow ones had others before them
            aloneLag += (took - aloneLag) * (aloneLag == 0 ? 1 : part);
        }
        targets.took[t] = took;
        targets.lag[t] += (took - targets.lag[t]) * (targets.lag[t] == 0 ? 1 : SMOOTHING);
        if (took > LATE_PART * shortestAgreed) {
            late(t, h, took);
        } else {
            targets.rest[t] /= 2;
            lateShare -= SMOOTHING * lateShare;
            targets.window[t] = Math.min(WINDOW_CEILING, targets.window[t] + 1 / targets.window[t]);
        }
    }

    /**
     * Halves once a round trip: what was sent before the last halving tells of the time before it.
     * Among a crowd, a refusal, a time-out or far too late an answer while hardly anything of its
     * own is out tells of a queue that others fill: the target then rests, ever longer, for what
     * does not fit. Could harm where answers are late by chance.
     */
    private void late(int t, PendingRequest h, long took) {
        if (h.sentAt < targets.halvedAt[t]) {
            return;
        }
        if (crowd && took > shortestAgreed / 2 && targets.out[t] < 2) {
            long rest = Math.max(shortestAgreed / 2, 2 * targets.rest[t]);
            targets.rest[t] = Math.min(LONGEST_TRIAL * shortestAgreed, rest);
            told(t, took, targets.rest[t]);
        }
        targets.window[t] = Math.max(1, targets.window[t] / 2);
        targets.halvedAt[t] = now;
    }

    private void told(int t, double waits, long holds) {
        targets.crowd[t] = waits;
        targets.toldUntil[t] = now + holds;
        targets.bar[t] = chance.nextDouble();
        agenda.upset(nodeOf(t));
        lateShare += SMOOTHING * ((waits > shortestAgreed / 2 ? 1 : 0) - lateShare);
    }

    private void heard(int t) {
        targets.heardAt[t] = now;
        targets.nextTrial[t] = 0;
    }

    /**
     * A target that owes answers and gave none for far longer than of late gets trials, ever later.
     */
    private void watchForSilence(int t) {
        long quiet = Math.max(now - Math.max(resumedAt, targets.heardAt[t]), shortestAgreed / 2);
        if (targets.nextTrial[t] == 0 && targets.out[t] > 0 && quiet > patience(t)) {
            fallSilent(t);
        } else if (targets.nextTrial[t] > 0 && now >= targets.nextTrial[t]) {
            targets.nextTrial[t] = now + Math.min(quiet, LONGEST_TRIAL * shortestAgreed);
            targets.mayTry[t] = !given.capabilities().canProbe();
            agenda.touch(nodeOf(t));
            if (!targets.mayTry[t] && targets.usable[t]) {
                todo.add(new Action.SendProbe(targets.id[t]));
            }
        }
    }

    private double patience(int t) {
        return Math.max(shortestAgreed / 2, PATIENCE * Math.max(targets.lag[t], targets.took[t]));
    }

    /**
     * A relay that later ones overtook long ago is presumed lost. Guards the window against
     * whatever vanishes one by one. Could harm where a target serves in no order; so one-shot
     * accesses are let wait.
     */
    private void watchForLoss(PendingRequest h) {
        int t = h.outAt;
        boolean overtaken = t >= 0 && !h.lost && targets.answeredSent[t] > h.sentAt;
        double size = overtaken ? Math.max(1, h.access.units() / meanUnits) : 0;
        if (overtaken && now - Math.max(resumedAt, h.sentAt) > PATIENCE * targets.lag[t] * size) {
            giveRoom(h, t);
            targets.outs.get(t).remove(h);
            h.lost = true;
            if (given.capabilities().canCancel()
                    && h.category.idempotency() != Idempotency.NON_IDEMPOTENT) {
                todo.add(new Action.CancelAttempt(h.access.id(), h.relays - 1));
            }
        }
    }

    /**
     * Guards against a target that hangs, pauses long, is down or cannot be reached, whatever the
     * list says; any answer ends it. Could harm where single connections fail by chance.
     */
    private void fallSilent(int t) {
        if (targets.nextTrial[t] == 0) {
            targets.nextTrial[t] = now;
            targets.mayTry[t] = false;
            agenda.touch(nodeOf(t));
        }
    }

    /** A probe may be answered beside the work, so its success only lets one access try. */
    private void probed(Event.ProbeEnded e) {
        int t = indexOf.get(e.target());
        boolean answered = e.outcome() == Outcome.SUCCEEDED;
        targets.mayTry[t] |= answered;
        targets.askedAt[t] = 0;
        boolean tells =
                e.queueLength() >= 0 || answered && aloneLag > 0 && e.latencyMicros() > aloneLag;
        if (tells && !probesTell) {
            probesTell = true;
            agenda.upsetAll(); // cold targets may now bear more
        }
        double unanswered = isCold(t) ? shortestAgreed : 0;
        told(
                t,
                answered ? Math.max(e.latencyMicros(), e.queueLength() * aloneLag) : unanswered,
                shortestAgreed / 2);
    }

    /** Further relays are made as often as recent ones succeeded. */
    private boolean worthAnother(PendingRequest h, int t) {
        boolean inTime = now + targets.lag[t] < h.agreedAt;
        return mayRunAgain(h)
                && h.relays < given.capabilities().maxAttempts()
                && inTime
                && chance.nextDouble() < Math.max(LEAST_FURTHER, furtherSuccess);
    }

    // ---- Final answers ----

    private void giveUp(PendingRequest h) {
        Idempotency kind = h.category.idempotency();
        boolean dropsRepeats =
                kind == Idempotency.IDEMPOTENCY_KEY
                        && h.category.deduplicationScope() == DeduplicationScope.ALL;
        boolean harmless = h.ranAt < 0 || kind == Idempotency.IDEMPOTENT || dropsRepeats;
        String id = h.access.id();
        todo.add(harmless ? new Action.Reject(id, advice(h.node.target)) : new Action.Fail(id));
        leave(h);
    }

    private long advice(int t) {
        long trial = t < 0 ? now + shortestAgreed : targets.nextTrial[t];
        long wait = trial > 0 ? trial - now : (long) targets.lag[t];
        Capabilities may = given.capabilities();
        return may.canSuggestRetryAfter()
                ? Math.max(1, Math.min(may.maxRetryAfterMicros(), wait))
                : 0;
    }

    private void leave(PendingRequest h) {
        h.answered = true;
        agenda.unqueue(h);
        if (h.outAt < 0) {
            held.remove(h.access.id());
            h.volume.held--;
            KeySequence k = turnsOf(h);
            if (k != null) {
                agenda.leave(k, h);
                if (k.order.isEmpty()) {
                    forgetting.left(k);
                }
            }
        }
    }
}
