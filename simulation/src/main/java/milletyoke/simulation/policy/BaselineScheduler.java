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
 * A textbook policy with no memory of targets: a fixed number of attempts in flight at each,
 * volumes in turn, one retry where it is safe. It answers in time, executes no request twice that
 * must not be, and keeps even parts of rate limits; it ignores warm-up, key order and the retry
 * budget.
 */
final class BaselineScheduler implements Scheduler {
    /** How long before a request's deadline its final answer leaves. */
    private static final long ANSWER_LEAD_MICROS = 10_000;

    private static final long CHECK_MICROS = 5_000;

    private static final class PendingRequest {
        final Event.RequestReceived received;
        final long deadlineAt;
        String target;
        int attempts;

        PendingRequest(Event.RequestReceived access, long until) {
            this.received = access;
            this.deadlineAt = until;
        }
    }

    /** The target of one shard, the requests queued for it, and the attempts in flight there. */
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

    BaselineScheduler(int window) {
        this.concurrencyLimit = window;
    }

    @Override
    public List<Action> decide(long time, List<Event> events) {
        now = time;
        actions = new ArrayList<>();
        events.forEach(this::handle);
        queuesByShard.values().forEach(this::serve);
        if (queued > 0 && !hasWakeUp) {
            hasWakeUp = true;
            actions.add(new Action.ScheduleWakeUp(CHECK_MICROS));
        }
        return actions;
    }

    private void handle(Event event) {
        if (event instanceof Event.Started e) {
            settings = e.settings();
            random = new SplittableRandom(e.seed());
            if (settings.mustWatchEndpoints()) {
                actions.add(new Action.WatchEndpoints());
            }
        } else if (event instanceof Event.SettingsChanged e) {
            settings = e.settings();
        } else if (event instanceof Event.EndpointListReceived e) {
            applyEndpointList(e);
        } else if (event instanceof Event.RequestReceived e) {
            admit(e);
        } else if (event instanceof Event.AttemptEnded e) {
            completeAttempt(e);
        } else if (event instanceof Event.RequestClosed e) {
            PendingRequest request = pending.remove(e.id());
            if (request != null && request.target == null) {
                queued--;
            }
        } else if (event instanceof Event.WakeUp) {
            hasWakeUp = false;
            queuesByShard.values().forEach(this::rejectLate);
        }
    }

    private void applyEndpointList(Event.EndpointListReceived e) {
        if (e.scope() == Event.ListScope.UNAVAILABLE) {
            return;
        }
        if (e.scope() != Event.ListScope.UPDATE) {
            queuesByShard.values().forEach(queue -> queue.target = null);
        }
        for (Event.Target t : e.targets()) {
            TargetQueue queue = queuesByShard.computeIfAbsent(t.shard(), s -> new TargetQueue());
            shardOfTarget.put(t.id(), t.shard());
            if (t.health() == Event.Health.ACTIVE) {
                queue.target = t.id();
            } else if (t.id().equals(queue.target)) {
                queue.target = null;
            }
        }
    }

    private void admit(Event.RequestReceived e) {
        int shard =
                e.shard() >= 0 || queuesByShard.isEmpty()
                        ? e.shard()
                        : new ArrayList<>(queuesByShard.keySet())
                                .get(random.nextInt(queuesByShard.size()));
        PendingRequest request =
                new PendingRequest(e, now + e.timeLeftMicros() - ANSWER_LEAD_MICROS);
        pending.put(e.id(), request);
        if (request.deadlineAt <= now || !queuesByShard.containsKey(shard) || !takeTokens(e)) {
            reject(request);
            return;
        }
        queued++;
        queuesByShard
                .get(shard)
                .queuedByVolume
                .computeIfAbsent(e.volume(), v -> new ArrayDeque<>())
                .add(request);
    }

    /** Whether this initiator's even part of the volume's rate limit covers the request. */
    private boolean takeTokens(Event.RequestReceived e) {
        SchedulerSettings.ServicePlan plan =
                settings.plans().stream()
                        .filter(p -> p.name().equals(e.plan()))
                        .findFirst()
                        .orElseThrow();
        if (plan.limitRate() <= 0) {
            return true;
        }
        TokenBucket bucket = limitBuckets.computeIfAbsent(e.volume(), v -> new TokenBucket());
        double depth = plan.limitBurst() / e.initiatorCount();
        bucket.units =
                Math.min(
                        depth,
                        bucket.units
                                + plan.limitRate()
                                        / e.initiatorCount()
                                        * (now - bucket.filledAt)
                                        / 1e6);
        bucket.filledAt = now;
        if (bucket.units < e.units()) {
            return false;
        }
        bucket.units -= e.units();
        return true;
    }

    private void serve(TargetQueue queue) {
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

    /** Takes the next request of the first volume, which then goes behind the others. */
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

    private void completeAttempt(Event.AttemptEnded e) {
        PendingRequest request = pending.get(e.id());
        if (request == null) {
            return;
        }
        TargetQueue queue = queuesByShard.get(shardOfTarget.get(request.target));
        queue.inFlight--;
        if (e.answered() || e.outcome() == Outcome.SUCCEEDED) {
            pending.remove(e.id());
            return;
        }
        boolean neverRan =
                e.outcome() == Outcome.OVERLOADED
                        || e.outcome() == Outcome.NOT_STARTED
                        || e.outcome() == Outcome.NO_CONNECTION;
        Idempotency repeats =
                settings.requestClasses().stream()
                        .filter(c -> c.name().equals(request.received.requestClass()))
                        .findFirst()
                        .orElseThrow()
                        .idempotency();
        boolean may = neverRan || repeats == Idempotency.IDEMPOTENT;
        if (may
                && request.attempts < Math.min(2, settings.capabilities().maxAttempts())
                && now < request.deadlineAt
                && queue.target != null) {
            send(queue, request);
        } else if (may) {
            reject(request);
        } else {
            pending.remove(e.id());
            actions.add(new Action.Fail(e.id()));
        }
    }

    private void rejectLate(TargetQueue queue) {
        queue.queuedByVolume.values().forEach(requests -> requests.removeIf(this::rejectIfLate));
        queue.queuedByVolume.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Whether the request is to leave its queue: it is late, or was closed before. */
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
