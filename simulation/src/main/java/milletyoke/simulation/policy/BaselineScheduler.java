package milletyoke.simulation.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;

/**
 * A simple baseline that keeps no health or load state of targets: a fixed limit of attempts in
 * flight at each target, round-robin between volumes, and one retry if it is safe. Requests get
 * their responses by their deadlines, non-idempotent requests are never executed twice, and each
 * initiator enforces an equal share of every rate limit. Warm-up, key order and the retry budget
 * are ignored.
 */
final class BaselineScheduler implements Scheduler {
    /** How long before a request's deadline its final response is sent, at the latest. */
    private static final long ANSWER_LEAD_MICROS = 10_000;

    /** Interval of wake-ups while requests are queued. */
    private static final long CHECK_MICROS = 5_000;

    private static final class PendingRequest {
        final Event.RequestReceived received;
        final long deadlineAt;
        String target;
        int attempts;

        PendingRequest(Event.RequestReceived received, long deadlineAt) {
            this.received = received;
            this.deadlineAt = deadlineAt;
        }
    }

    /** The target of one shard, the requests queued for it and its number of attempts in flight. */
    private static final class TargetQueue {
        String target;
        int inFlight;
        final LinkedHashMap<String, ArrayDeque<PendingRequest>> queuedByVolume =
                new LinkedHashMap<>();
    }

    private static final class TokenBucket {
        double units;
        long filledAt;
    }

    private final int concurrencyLimit;
    private final Map<Integer, TargetQueue> queuesByShard = new LinkedHashMap<>();
    private final Map<String, Integer> shardOfTarget = new LinkedHashMap<>();
    private final Map<String, PendingRequest> pending = new LinkedHashMap<>();
    private final Map<String, TokenBucket> limitBuckets = new LinkedHashMap<>();
    private SchedulerSettings settings;
    private SplittableRandom random;
    private List<Action> actions;
    private long now;
    private int queued;
    private boolean hasWakeUp;

    BaselineScheduler(int concurrencyLimit) {
        this.concurrencyLimit = concurrencyLimit;
    }

    @Override
    public List<Action> decide(long time, List<Event> events) {
        now = time;
        actions = new ArrayList<>();
        events.forEach(this::handleEvent);
        queuesByShard.values().forEach(this::sendQueued);
        if (queued > 0 && !hasWakeUp) {
            hasWakeUp = true;
            actions.add(new Action.ScheduleWakeUp(CHECK_MICROS));
        }
        return actions;
    }

    private void handleEvent(Event event) {
        if (event instanceof Event.Started started) {
            settings = started.settings();
            random = new SplittableRandom(started.seed());
            if (settings.mustWatchEndpoints()) {
                actions.add(new Action.WatchEndpoints());
            }
        } else if (event instanceof Event.SettingsChanged changed) {
            settings = changed.settings();
        } else if (event instanceof Event.EndpointListReceived list) {
            applyEndpointList(list);
        } else if (event instanceof Event.RequestReceived received) {
            admit(received);
        } else if (event instanceof Event.AttemptEnded ended) {
            completeAttempt(ended);
        } else if (event instanceof Event.RequestClosed closed) {
            PendingRequest request = pending.remove(closed.id());
            if (request != null && request.target == null) {
                queued--;
            }
        } else if (event instanceof Event.WakeUp) {
            hasWakeUp = false;
            queuesByShard.values().forEach(this::rejectLateRequests);
        }
    }

    private void applyEndpointList(Event.EndpointListReceived list) {
        if (list.scope() == Event.ListScope.UNAVAILABLE) {
            return;
        }
        if (list.scope() != Event.ListScope.UPDATE) {
            queuesByShard.values().forEach(queue -> queue.target = null);
        }
        for (Event.Target target : list.targets()) {
            TargetQueue queue =
                    queuesByShard.computeIfAbsent(target.shard(), s -> new TargetQueue());
            shardOfTarget.put(target.id(), target.shard());
            if (target.health() == Event.Health.ACTIVE) {
                queue.target = target.id();
            } else if (target.id().equals(queue.target)) {
                queue.target = null;
            }
        }
    }

    private void admit(Event.RequestReceived received) {
        int shard =
                received.shard() >= 0 || queuesByShard.isEmpty()
                        ? received.shard()
                        : new ArrayList<>(queuesByShard.keySet())
                                .get(random.nextInt(queuesByShard.size()));
        PendingRequest request =
                new PendingRequest(received, now + received.timeLeftMicros() - ANSWER_LEAD_MICROS);
        pending.put(received.id(), request);
        if (request.deadlineAt <= now
                || !queuesByShard.containsKey(shard)
                || !takeTokens(received)) {
            reject(request);
            return;
        }
        queued++;
        queuesByShard
                .get(shard)
                .queuedByVolume
                .computeIfAbsent(received.volume(), v -> new ArrayDeque<>())
                .add(request);
    }

    /**
     * Takes the request's units from this initiator's share of its volume's rate limit. Returns
     * false if they do not suffice.
     */
    private boolean takeTokens(Event.RequestReceived received) {
        SchedulerSettings.ServicePlan plan =
                settings.plans().stream()
                        .filter(p -> p.name().equals(received.plan()))
                        .findFirst()
                        .orElseThrow();
        if (plan.limitRate() <= 0) {
            return true;
        }
        TokenBucket bucket =
                limitBuckets.computeIfAbsent(received.volume(), v -> new TokenBucket());
        double depth = plan.limitBurst() / received.initiatorCount();
        bucket.units =
                Math.min(
                        depth,
                        bucket.units
                                + plan.limitRate()
                                        / received.initiatorCount()
                                        * (now - bucket.filledAt)
                                        / 1e6);
        bucket.filledAt = now;
        if (bucket.units < received.units()) {
            return false;
        }
        bucket.units -= received.units();
        return true;
    }

    private void sendQueued(TargetQueue queue) {
        while (queue.target != null
                && queue.inFlight < concurrencyLimit
                && !queue.queuedByVolume.isEmpty()) {
            PendingRequest request = pollNextVolume(queue.queuedByVolume);
            if (request != null && pending.get(request.received.id()) == request) {
                queued--;
                send(queue, request);
            }
        }
    }

    /** Takes a request of the first volume and moves that volume behind the others. */
    private static PendingRequest pollNextVolume(
            Map<String, ArrayDeque<PendingRequest>> queuedByVolume) {
        Iterator<Map.Entry<String, ArrayDeque<PendingRequest>>> volumes =
                queuedByVolume.entrySet().iterator();
        Map.Entry<String, ArrayDeque<PendingRequest>> first = volumes.next();
        volumes.remove();
        PendingRequest request = first.getValue().poll();
        if (!first.getValue().isEmpty()) {
            queuedByVolume.put(first.getKey(), first.getValue());
        }
        return request;
    }

    private void send(TargetQueue queue, PendingRequest request) {
        request.target = queue.target;
        request.attempts++;
        queue.inFlight++;
        actions.add(
                new Action.SendAttempt(request.received.id(), request.deadlineAt, queue.target));
    }

    private void completeAttempt(Event.AttemptEnded ended) {
        PendingRequest request = pending.get(ended.id());
        if (request == null) {
            return;
        }
        TargetQueue queue = queuesByShard.get(shardOfTarget.get(request.target));
        queue.inFlight--;
        if (ended.answered() || ended.outcome() == Outcome.SUCCEEDED) {
            pending.remove(ended.id());
            return;
        }
        boolean wasNotExecuted =
                ended.outcome() == Outcome.OVERLOADED
                        || ended.outcome() == Outcome.NOT_STARTED
                        || ended.outcome() == Outcome.NO_CONNECTION;
        Idempotency idempotency =
                settings.requestClasses().stream()
                        .filter(c -> c.name().equals(request.received.requestClass()))
                        .findFirst()
                        .orElseThrow()
                        .idempotency();
        boolean canRetry = wasNotExecuted || idempotency == Idempotency.IDEMPOTENT;
        if (canRetry
                && request.attempts < Math.min(2, settings.capabilities().maxAttempts())
                && now < request.deadlineAt
                && queue.target != null) {
            send(queue, request);
        } else if (canRetry) {
            reject(request);
        } else {
            pending.remove(ended.id());
            actions.add(new Action.Fail(ended.id()));
        }
    }

    private void rejectLateRequests(TargetQueue queue) {
        queue.queuedByVolume.values().forEach(requests -> requests.removeIf(this::rejectIfLate));
        queue.queuedByVolume.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Rejects a pending request that is late. Returns whether the request must leave its queue. */
    private boolean rejectIfLate(PendingRequest request) {
        boolean isLate = now + CHECK_MICROS >= request.deadlineAt;
        boolean isPending = pending.get(request.received.id()) == request;
        if (isLate && isPending) {
            queued--;
            reject(request);
        }
        return isLate || !isPending;
    }

    private void reject(PendingRequest request) {
        pending.remove(request.received.id());
        actions.add(new Action.Reject(request.received.id(), 0));
    }
}
