package milletyoke.scheduler.reference;

import java.util.*;
import java.util.stream.IntStream;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.*;
import milletyoke.scheduler.reference.State.*;

/**
 * The module from before its work was put in step with what happens, to be compared with; its
 * stores are filled by time alone already. It goes out when that work is done.
 *
 * <p>All decisions of one initiator. Its host makes one object for each start, calls {@link
 * #decide} with the time and what happened since, the start first, and carries out what it returns,
 * in that order. The interface is the package milletyoke.scheduler.api; the design, and each
 * departure, is in docs/design.md.
 */
public final class Decide {
    // The design's figures.
    private static final int BASE_BATCH = 4;
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
    final Targets targets = new Targets();

    private long askAt = Long.MAX_VALUE, askWait = FIRST_ASK;

    final Map<Integer, Node> nodes = new LinkedHashMap<>();
    private final Map<String, Held> held = new LinkedHashMap<>();
    final Map<String, Store> unseen = new LinkedHashMap<>();
    final Map<String, Store> limits = new HashMap<>(), reserves = new HashMap<>();
    private final Map<String, Turns> turns = new HashMap<>();
    private final Map<String, Long> longestTtl = new HashMap<>();
    private final ArrayDeque<Long> taken = new ArrayDeque<>(), further = new ArrayDeque<>();
    double furtherSuccess = 1, lateShare;

    /** What an access takes at a target where no other waits. */
    private double aloneLag;

    /** How far relays have borne out what probes told of late. */
    private double confirmed;

    private long seed;
    private long takenCount;

    private double meanUnits;

    /** The one entry point: takes what happened, returns what is to be done. */
    public List<Action> decide(long time, List<Event> happened) {
        now = time;
        resumedAt = now - wakeAt > LATE_PART * shortestAgreed ? now : resumedAt;
        wakeAt = now >= wakeAt ? Long.MAX_VALUE : wakeAt;
        todo = new ArrayList<>();
        happened.forEach(this::learn);
        IntStream.range(0, targets.count).forEach(this::watchForSilence);
        held.values().forEach(this::watchForLoss);
        nodes.values().stream().filter(n -> n.waiting > 0).forEach(this::serve);
        followList();
        arrangeWake();
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
        seed = e.seed();
        chance = new SplittableRandom(seed);
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
        for (ServicePlan p : given.plans()) {
            Store s = unseen.computeIfAbsent(p.name(), n -> new Store());
            s.at = s.plan == null ? now : s.at;
            s.plan = p.name();
            s.hosts = 1;
        }
    }

    /**
     * New plans hold from now on, for what waits too. A limit's store is first filled by the plan
     * it had and then holds no more than the new one allows. Guards rule 7 against a limit lowered
     * and raised again, which would fill it at once, and against past time paid at a higher rate.
     * Harms none but a volume whose limit rises: its store fills as time goes on.
     */
    private void reprovision(SchedulerSettings next) {
        limits.values().forEach(this::settle);
        unseen.values().forEach(this::settle);
        provision(next);
        limits.values().forEach(this::settle);
        unseen.values().forEach(this::settle);
        held.values().forEach(h -> h.plan = plans.get(h.access.plan()));
        nodes.values().forEach(n -> n.reservations.values().forEach(this::reweigh));
    }

    private void settle(Store s) {
        s.units = settled(s);
        s.at = now;
    }

    private double settled(Store s) {
        ServicePlan plan = plans.get(s.plan);
        boolean limited = plan != null && plan.limitRate() > 0;
        return limited ? level(s, plan.limitRate() / s.hosts, limitDepth(plan) / s.hosts) : s.units;
    }

    private void reweigh(Reservation r) {
        r.weight = r.queue.isEmpty() ? r.weight : weight(r.queue.peekFirst().plan);
        retag(r);
    }

    private void arrangeWake() {
        boolean waiting = nodes.values().stream().anyMatch(n -> n.waiting > 0);
        long look = held.isEmpty() ? Long.MAX_VALUE : now + (waiting ? LOOK_WAITING : LOOK_IDLE);
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
        nodes.forEach(this::findHolder);
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
        targets.zone[t] = String.valueOf(target.zone());
        targets.shardOf[t] = target.shard();
        targets.usable[t] = target.health() == Event.Health.ACTIVE;
        if (targets.life[t] == 0 || target.startedAtMicros() > targets.launched[t]) {
            targets.launched[t] = target.startedAtMicros();
            forget(t);
        }
        nodes.computeIfAbsent(target.shard(), Node::new);
    }

    private void forget(int t) {
        targets.window[t] = FIRST_WINDOW;
        targets.out[t] = 0;
        targets.life[t]++;
        targets.lag[t] = 0;
        targets.nextTrial[t] = 0;
        targets.toldUntil[t] = 0;
    }

    private void findHolder(int shard, Node node) {
        node.target = -1;
        for (int t = 0; t < targets.count; t++) {
            boolean newer = node.target < 0 || targets.launched[t] >= targets.launched[node.target];
            if (targets.shardOf[t] == shard && targets.usable[t] && newer) {
                node.target = t;
            }
        }
    }

    // ---- Taking ----

    private void take(Event.RequestReceived e) {
        RequestClass category = categories.get(e.requestClass());
        Held h = new Held(e, category, plans.get(e.plan()));
        h.number = takenCount++;
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
        inSpan(taken).addLast(now);
        if (hasLimit(h)) {
            openLimit(h);
        }
        meanUnits += (e.units() - meanUnits) * (meanUnits == 0 ? 1 : SMOOTHING);
        if (category.keyOrdered() && e.extent() != null) {
            turns.computeIfAbsent(e.extent(), k -> new Turns()).order.addLast(h);
        }
        h.node = e.shard() < 0 ? draw() : nodes.computeIfAbsent(e.shard(), Node::new);
        if (bounds.overloadWindowMicros() > 0) {
            h.node.asked.add(e.units(), now, 8.0 * bounds.overloadWindowMicros());
            if (drawWindow(h.node, now) > drawWindow(h.node, h.node.askedAt) + 1) {
                h.node.drawsSince = now;
            }
            h.node.askedAt = now;
        }
        enqueue(h);
    }

    /**
     * A new object goes to a target drawn at random, odds in step with the room each is thought to
     * have.
     */
    private Node draw() {
        double left = chance.nextDouble() * nodes.values().stream().mapToDouble(this::room).sum();
        Node drawn = null;
        for (Node n : nodes.values()) {
            drawn = drawn == null || left > 0 && room(n) > 0 ? n : drawn;
            left -= room(n);
        }
        return drawn == null ? nodes.computeIfAbsent(0, Node::new) : drawn;
    }

    private double room(Node n) {
        int t = n.target;
        boolean none = t < 0 || targets.nextTrial[t] > 0 || isCold(t);
        double others = isTold(t) ? targets.crowd[t] / Math.max(1, aloneLag) : 0;
        return none ? 0 : targets.window[t] / (1 + targets.out[t] + n.waiting + others);
    }

    private void enqueue(Held h) {
        Node node = h.node;
        Reservation r =
                node.reservations.computeIfAbsent(h.access.volume(), v -> new Reservation());
        r.weight = weight(h.plan);
        if (r.queue.isEmpty()) {
            r.start = Math.max(node.virtualTime, r.finish);
            double least =
                    node.reservations.values().stream()
                            .filter(other -> !other.queue.isEmpty())
                            .mapToDouble(other -> other.extra)
                            .min()
                            .orElse(r.extra);
            r.extra = Math.max(r.extra, least);
        }
        r.queue.add(placeIn(r.queue, h), h);
        retag(r);
        node.waiting++;
    }

    private static double weight(ServicePlan plan) {
        return plan == null || plan.weight() <= 0 ? 1 : plan.weight();
    }

    /**
     * Inside one volume importance goes first, then the newest: a backlog makes few very late, not
     * all.
     */
    private static int placeIn(LinkedList<Held> queue, Held h) {
        double own = h.category.priorityWeight();
        return (int)
                queue.stream()
                        .filter(
                                o ->
                                        o.category.priorityWeight() > own
                                                || o.category.priorityWeight() == own
                                                        && o.firstTaken >= h.firstTaken)
                        .count();
    }

    private static double step(Reservation r, Held h) {
        return h.access.units() / r.weight;
    }

    private static void retag(Reservation r) {
        r.finish = r.queue.isEmpty() ? r.finish : r.start + step(r, r.queue.peekFirst());
    }

    private static void dequeue(Held h, Reservation r) {
        r.queue.remove(h);
        h.node.waiting--;
        retag(r);
    }

    // ---- Serving a node ----

    private void serve(Node node) {
        boolean asking = mustAsk(node.target);
        List<Held> late = takeLate(node);
        while (!asking && batch(node)) {
            continue;
        }
        for (Held h : late) {
            boolean room = !asking && roomAt(node) > 0 && fits(h, node.target);
            boolean spares = now <= h.agreedAt || !crowd && (h.relays > 0 || !hasLimit(h));
            if (!room || !spares || !relay(h, node.target)) {
                giveUp(h);
            }
        }
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
        return t >= 0 && now < targets.toldUntil[t];
    }

    private double expected(int t) {
        boolean old = t >= 0 && now - targets.heardAt[t] > LONGEST_TRIAL * shortestAgreed;
        double usual = t < 0 || targets.askedAt[t] > 0 ? 0 : old ? aloneLag : targets.lag[t];
        return isTold(t) ? targets.crowd[t] + aloneLag : usual;
    }

    /**
     * Whether an access may join what is said to wait at the target; the draw keeps hosts out of
     * step.
     */
    private boolean fits(Held h, int t) {
        double part = isOwed(h) ? JOIN_OWED : JOIN_OTHERS * targets.bar[t];
        return !isTold(t) || targets.crowd[t] <= part * shortestAgreed;
    }

    /**
     * What can no longer be answered in its agreed time takes the room that is left, unless others
     * need it (a crowd, a limit), or gets its answer at once. Guards against a backlog of any cause
     * that would make all that comes after it late too. Could harm where the lag is thought longer
     * than it is.
     */
    private List<Held> takeLate(Node node) {
        double expected = expected(node.target);
        List<Held> late = new ArrayList<>();
        for (Reservation r : node.reservations.values()) {
            for (Held h : r.queue.stream().filter(w -> now + expected > w.agreedAt).toList()) {
                dequeue(h, r);
                late.add(h);
            }
        }
        return late;
    }

    /**
     * One base batch by least finish tag, beside each of it the inserts that may join; false if
     * empty.
     */
    private boolean batch(Node node) {
        int room = roomAt(node);
        int most = Math.min(BASE_BATCH, (room + 1) / 2);
        List<Held> base = new ArrayList<>();
        for (Reservation r = leastFinish(node);
                base.size() < most && r != null;
                r = leastFinish(node)) {
            Held h = sendable(node, r);
            node.virtualTime = r.start;
            r.start = r.finish;
            dequeue(h, r);
            base.add(h);
        }
        room -= base.size();
        for (Held h : base) {
            if (!relay(h, node.target)) {
                enqueue(h); // one before it took the last of a limit or of a cold target's part
            }
            for (Held beside = insert(node, h, room);
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
    private Reservation leastFinish(Node node) {
        Reservation least = null;
        boolean leastOwed = false;
        for (Reservation r : node.reservations.values()) {
            Held h = sendable(node, r);
            boolean owed = h != null && isOwed(h);
            boolean first = least == null || (owed == leastOwed ? r.finish < least.finish : owed);
            if (h != null && first) {
                least = r;
                leastOwed = owed;
            }
        }
        return least;
    }

    private Held sendable(Node node, Reservation r) {
        int t = node.target;
        return r.queue.stream().filter(h -> mayRelay(h, t) && fits(h, t)).findFirst().orElse(null);
    }

    /**
     * What this host owes a volume of its reserve: at most a second, and an access of twice the
     * mean.
     */
    private boolean isOwed(Held h) {
        return level(reserves.get(h.access.volume()), reserve(h), reserveDepth(h))
                >= h.access.units();
    }

    private static double reserve(Held h) {
        return h.plan == null ? 0 : h.plan.reservationRate();
    }

    private double reserveDepth(Held h) {
        return reserve(h) + 2 * meanUnits;
    }

    private Held insert(Node node, Held beside, int room) {
        String extent = beside.access.extent();
        if (room <= 0 || extent == null || beside.category.keyOrdered()) {
            return null;
        }
        for (Reservation r : node.reservations.values()) {
            for (Held h : r.queue) {
                if (extent.equals(h.access.extent())
                        && !h.category.keyOrdered()
                        && mayRelay(h, node.target)
                        && fits(h, node.target)
                        && withinMargin(node, r, step(r, h))) {
                    r.extra += step(r, h);
                    dequeue(h, r);
                    return h;
                }
            }
        }
        return null;
    }

    /**
     * Whether the widest gap of waiting volumes' extra tags stays within the margin after one step.
     */
    private boolean withinMargin(Node node, Reservation one, double step) {
        double least = one.extra + step, most = least, lightest = one.weight;
        for (Reservation r : node.reservations.values()) {
            if (r != one && !r.queue.isEmpty()) {
                least = Math.min(least, r.extra);
                most = Math.max(most, r.extra);
                lightest = Math.min(lightest, r.weight);
            }
        }
        return most - least <= MARGIN_STEPS * meanUnits / lightest;
    }

    private int roomAt(Node node) {
        int t = node.target;
        int trial = t >= 0 && targets.mayTry[t] ? 1 : 0;
        return t < 0 || targets.nextTrial[t] > 0 ? trial : (int) targets.window[t] - targets.out[t];
    }

    // ---- The rules: every send passes relay, which asks mayRelay ----

    private boolean relay(Held h, int t) {
        if (!mayRelay(h, t)) {
            return false;
        }
        if (h.relays > 0) {
            inSpan(further).addLast(now);
        } else if (hasLimit(h)) {
            drawOnLimit(h);
        }
        drawOnReserve(h);
        h.toldWaits = isTold(t) && targets.probed[t] ? targets.crowd[t] : -1;
        if (isCold(t)) {
            h.spent = new Spent(h.access.units());
            targets.coldSpent.get(t).addLast(h.spent);
            targets.toldUntil[t] = 0;
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
        todo.add(new Action.SendAttempt(h.access.id(), h.abandonAt, targets.id[t]));
        return true;
    }

    private boolean mayRelay(Held h, int t) {
        boolean inTime = !h.answered && now < h.abandonAt - ANSWER_AHEAD;
        return t >= 0
                && targets.usable[t]
                && inTime
                && noSecondEffect(h, t)
                && coldBears(h, t)
                && itsTurn(h)
                && withinBudget(h)
                && withinLimit(h);
    }

    private boolean noSecondEffect(Held h, int t) {
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

    private boolean mayRunAgain(Held h) {
        return h.ranAt < 0
                || h.category.idempotency() == Idempotency.IDEMPOTENT
                || h.category.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && now < h.ranSince + h.category.deduplicationWindowMicros();
    }

    boolean isCold(int t) {
        return bounds.overloadWindowMicros() > 0
                && targets.launched[t] > 0
                && now < targets.launched[t] + bounds.warmUpMicros();
    }

    /**
     * What this initiator may send to a cold target in one window: its even part of what such a
     * target bears, or the part of what the shard's warm target served here that the new one surely
     * can do. Where neither holds an access draws decide. A probe that can be believed lets more
     * go.
     */
    private boolean coldBears(Held h, int t) {
        if (!isCold(t)) {
            return true;
        }
        double units = h.access.units();
        targets.coldSpent.get(t).removeIf(s -> s.until <= now);
        double spent = targets.coldSpent.get(t).stream().mapToDouble(s -> s.units).sum();
        double all = bounds.warmUpBudgetUnits() * grown(t);
        double queue = COLD_QUEUE * (bounds.overloadFactor() - 1) * bounds.overloadWindowMicros();
        if (confirmed >= 0.2
                && isTold(t)
                && targets.crowd[t] <= queue
                && (spent == 0 || spent + units <= 0.25 * all)) {
            return true;
        }
        if (now < startedAt + bounds.overloadWindowMicros() && targets.launched[t] < startedAt) {
            return false;
        }
        double even = all / Math.max(1, given.initiatorCount());
        double horizon = 8.0 * bounds.overloadWindowMicros();
        double past =
                0.7
                        * bounds.overloadFactor()
                        * (h.node.served.at(targets.launched[t], horizon) / 8)
                        * warmth(t);
        if (spent + units <= Math.max(even, past)) {
            return true;
        }
        return spent == 0
                && units > Math.max(even, past)
                && (drawnByPart(h, even) || drawnByPast(h, past - even, horizon));
    }

    private boolean drawnByPart(Held h, double even) {
        long window = drawWindow(h.node, now);
        double draw = chanceOf(-1L - h.node.shard, h.node.drawsSince + window);
        return draw * h.access.units() <= 0.7 * even;
    }

    private long drawWindow(Node n, long time) {
        return Math.floorDiv(time - n.drawsSince, bounds.overloadWindowMicros());
    }

    private boolean drawnByPast(Held h, double allowed, double horizon) {
        if (allowed <= 0) {
            return false;
        }
        long taken = h.abandonAt - h.access.timeLeftMicros();
        long round = (now - taken) / bounds.overloadWindowMicros();
        long since = taken + round * bounds.overloadWindowMicros();
        double windows = (since - startedAt) / (double) bounds.overloadWindowMicros();
        double asked = h.node.asked.at(since, horizon) / (8 * -StrictMath.expm1(-windows / 8));
        return chanceOf(h.number, -round) * asked <= allowed;
    }

    private double chanceOf(long sequence, long number) {
        return new SplittableRandom(seed + 0x9E3779B97F4A7C15L * (sequence + 1) ^ number)
                .nextDouble();
    }

    /** The bound grows as the target warms, never slower than evenly; the window's start counts. */
    private double grown(int t) {
        return bounds.initialFraction() > 0 ? warmth(t) / bounds.initialFraction() : 1;
    }

    private double warmth(int t) {
        double share = bounds.initialFraction();
        double warmed =
                Math.max(0, now - bounds.overloadWindowMicros() - targets.launched[t])
                        / (double) bounds.warmUpMicros();
        return share + (1 - share) * warmed;
    }

    private boolean itsTurn(Held h) {
        Turns k = turnsOf(h);
        return k == null || k.order.peekFirst() == h && now >= k.restUntil;
    }

    private Turns turnsOf(Held h) {
        return h.category.keyOrdered() && h.access.extent() != null
                ? turns.get(h.access.extent())
                : null;
    }

    private boolean withinBudget(Held h) {
        return h.relays == 0
                || bounds.retryWindowMicros() == 0
                || inSpan(further).size() + 1
                        <= bounds.freeRetries() + bounds.retryShare() * inSpan(taken).size();
    }

    private ArrayDeque<Long> inSpan(ArrayDeque<Long> times) {
        while (!times.isEmpty() && times.peekFirst() <= now - bounds.retryWindowMicros()) {
            times.removeFirst();
        }
        return times;
    }

    private boolean withinLimit(Held h) {
        return h.relays > 0 || !hasLimit(h) || limitLeft(h) >= h.access.units();
    }

    private static boolean hasLimit(Held h) {
        return h.plan != null && h.plan.limitRate() > 0;
    }

    /**
     * This host's part of a volume's limit, with slack. A former life may have spent it: it starts
     * empty.
     */
    private Store limit(Held h) {
        return limits.computeIfAbsent(
                h.access.volume(),
                v -> {
                    Store s = new Store();
                    s.units = unseen.get(h.access.plan()).units / hosts(h);
                    s.at = unseen.get(h.access.plan()).at;
                    s.plan = h.access.plan();
                    s.hosts = hosts(h);
                    return s;
                });
    }

    /**
     * A store follows the plan and hosts that are asked with: the time before is paid as those
     * were.
     */
    private void openLimit(Held h) {
        Store s = limit(h);
        settle(s);
        s.plan = h.access.plan();
        s.hosts = hosts(h);
    }

    private double limitLeft(Held h) {
        Store s = limit(h);
        boolean same = s.plan.equals(h.access.plan()) && s.hosts == hosts(h);
        return same ? level(s, limitRate(h), limitDepth(h)) : Math.min(limitDepth(h), settled(s));
    }

    private void drawOnLimit(Held h) {
        Store s = limit(h);
        s.units = limitLeft(h) - h.access.units();
        s.at = now;
        s.plan = h.access.plan();
        s.hosts = hosts(h);
    }

    private static double hosts(Held h) {
        return Math.max(1, h.access.initiatorCount());
    }

    private static double limitRate(Held h) {
        return h.plan.limitRate() / hosts(h);
    }

    private static double limitDepth(Held h) {
        return limitDepth(h.plan) / hosts(h);
    }

    private static double limitDepth(ServicePlan plan) {
        return plan.limitBurst() + SLACK_USED * plan.limitSlack();
    }

    /** What a store holds now. It is filled by time alone: to look at it changes nothing. */
    private double level(Store s, double rate, double depth) {
        double units = s == null ? 0 : s.units;
        return Math.min(
                depth, units + rate * (now - Math.max(s == null ? 0 : s.at, startedAt)) / 1e6);
    }

    private void drawOnReserve(Held h) {
        Store s = reserves.computeIfAbsent(h.access.volume(), v -> new Store());
        s.units = Math.max(0, level(s, reserve(h), reserveDepth(h)) - h.access.units());
        s.at = now;
    }

    // ---- Outcomes ----

    private void ended(Event.AttemptEnded e) {
        Held h = held.get(e.id());
        if (h == null || h.outAt < 0 || h.relays - 1 != e.attemptNumber()) {
            return;
        }
        int t = h.outAt;
        h.outAt = -1;
        giveRoom(h, t);
        believe(h, e);
        leftCold(t, h, e.outcome());
        judge(t, h, e);
        boolean mayStillRun = MAY_STILL_RUN.contains(e.outcome());
        Turns k = turnsOf(h);
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

    /** Whether the relay took as long as a probe had told shows whether probes can be believed. */
    private void believe(Held h, Event.AttemptEnded e) {
        double waits = h.toldWaits;
        h.toldWaits = -1;
        if (waits < 0 || e.outcome() != Outcome.SUCCEEDED && e.outcome() != Outcome.TIMED_OUT) {
            return;
        }
        double queue = COLD_QUEUE * (bounds.overloadFactor() - 1) * bounds.overloadWindowMicros();
        boolean tells = waits >= 2 * aloneLag;
        if (e.latencyMicros() > waits + aloneLag + queue
                || tells && e.latencyMicros() < waits / 2) {
            confirmed = 0;
        } else if (tells) {
            confirmed += SMOOTHING * (1 - confirmed);
        }
    }

    private void leftCold(int t, Held h, Outcome outcome) {
        Spent spent = h.spent;
        h.spent = null;
        if (spent != null) {
            boolean never = outcome == Outcome.NOT_STARTED || outcome == Outcome.NO_CONNECTION;
            spent.until = now + (never ? 0 : bounds.overloadWindowMicros());
        } else if (outcome == Outcome.SUCCEEDED
                && !isCold(t)
                && bounds.overloadWindowMicros() > 0) {
            h.node.served.add(h.access.units(), now, 8.0 * bounds.overloadWindowMicros());
        }
    }

    private void giveRoom(Held h, int t) {
        targets.out[t] -= !h.lost && h.outLife == targets.life[t] ? 1 : 0;
    }

    private void judge(int t, Held h, Event.AttemptEnded e) {
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

    private void succeeded(int t, Held h, long took) {
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
    private void late(int t, Held h, long took) {
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
        targets.probed[t] = false;
        targets.toldUntil[t] = now + holds;
        targets.bar[t] = chance.nextDouble();
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
        double patience =
                Math.max(shortestAgreed / 2, PATIENCE * Math.max(targets.lag[t], targets.took[t]));
        if (targets.nextTrial[t] == 0 && targets.out[t] > 0 && quiet > patience) {
            fallSilent(t);
        } else if (targets.nextTrial[t] > 0 && now >= targets.nextTrial[t]) {
            targets.nextTrial[t] = now + Math.min(quiet, LONGEST_TRIAL * shortestAgreed);
            targets.mayTry[t] = !given.capabilities().canProbe();
            if (!targets.mayTry[t] && targets.usable[t]) {
                todo.add(new Action.SendProbe(targets.id[t]));
            }
        }
    }

    /**
     * A relay that later ones overtook long ago is presumed lost. Guards the window against
     * whatever vanishes one by one. Could harm where a target serves in no order; so one-shot
     * accesses are let wait.
     */
    private void watchForLoss(Held h) {
        int t = h.outAt;
        boolean overtaken = t >= 0 && !h.lost && targets.answeredSent[t] > h.sentAt;
        double size = overtaken ? Math.max(1, h.access.units() / meanUnits) : 0;
        if (overtaken && now - Math.max(resumedAt, h.sentAt) > PATIENCE * targets.lag[t] * size) {
            giveRoom(h, t);
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
        }
    }

    /** A probe may be answered beside the work, so its success only lets one access try. */
    private void probed(Event.ProbeEnded e) {
        int t = indexOf.get(e.target());
        boolean answered = e.outcome() == Outcome.SUCCEEDED;
        targets.mayTry[t] |= answered;
        targets.askedAt[t] = 0;
        double unanswered = isCold(t) ? shortestAgreed : 0;
        told(
                t,
                answered ? Math.max(e.latencyMicros(), e.queueLength() * aloneLag) : unanswered,
                shortestAgreed / 2);
        targets.probed[t] = answered;
    }

    /** Further relays are made as often as recent ones succeeded. */
    private boolean worthAnother(Held h, int t) {
        boolean inTime = now + targets.lag[t] < h.agreedAt;
        return mayRunAgain(h)
                && h.relays < given.capabilities().maxAttempts()
                && inTime
                && chance.nextDouble() < Math.max(LEAST_FURTHER, furtherSuccess);
    }

    // ---- Final answers ----

    private void giveUp(Held h) {
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

    private void leave(Held h) {
        h.answered = true;
        Reservation r = h.node.reservations.get(h.access.volume());
        if (r != null && r.queue.contains(h)) {
            dequeue(h, r);
        }
        if (h.outAt < 0) {
            held.remove(h.access.id());
            Turns k = turnsOf(h);
            if (k != null) {
                k.order.remove(h);
                if (k.order.isEmpty() && now >= k.restUntil) {
                    turns.remove(h.access.extent());
                }
            }
        }
    }
}
