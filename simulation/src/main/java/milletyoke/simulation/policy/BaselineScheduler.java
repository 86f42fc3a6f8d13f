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
 * A textbook policy with no memory of targets: so many out at each, volumes in turn, one try more
 * for what may run again. It answers in time, repeats nothing that may not be repeated, and keeps
 * even parts of limits; drains, cold targets, order and budgets it knows nothing of.
 */
final class BaselineScheduler implements Scheduler {
    /** A final answer leaves this long before the client's time is up (microseconds). */
    private static final long AHEAD = 10_000;

    private static final long LOOK = 5_000;

    private static final class Held {
        final Event.RequestReceived access;
        final long until;
        String target;
        int relays;

        Held(Event.RequestReceived access, long until) {
            this.access = access;
            this.until = until;
        }
    }

    /** One target: who may be sent there, what waits by volume, how much is out. */
    private static final class Place {
        String target;
        int out;
        final LinkedHashMap<String, ArrayDeque<Held>> waiting = new LinkedHashMap<>();
    }

    private static final class Store {
        double units;
        long filledAt;
    }

    private final int window;
    private final Map<Integer, Place> places = new LinkedHashMap<>();
    private final Map<String, Integer> shards = new LinkedHashMap<>();
    private final Map<String, Held> held = new LinkedHashMap<>();
    private final Map<String, Store> stores = new LinkedHashMap<>();
    private SchedulerSettings given;
    private SplittableRandom chance;
    private List<Action> actions;
    private long now;
    private int queued;
    private boolean wakes;

    BaselineScheduler(int window) {
        this.window = window;
    }

    @Override
    public List<Action> decide(long time, List<Event> events) {
        now = time;
        actions = new ArrayList<>();
        events.forEach(this::learn);
        places.values().forEach(this::serve);
        if (queued > 0 && !wakes) {
            wakes = true;
            actions.add(new Action.ScheduleWakeUp(LOOK));
        }
        return actions;
    }

    private void learn(Event event) {
        if (event instanceof Event.Started e) {
            given = e.settings();
            chance = new SplittableRandom(e.seed());
            if (given.mustWatchEndpoints()) {
                actions.add(new Action.WatchEndpoints());
            }
        } else if (event instanceof Event.SettingsChanged e) {
            given = e.settings();
        } else if (event instanceof Event.EndpointListReceived e) {
            listed(e);
        } else if (event instanceof Event.RequestReceived e) {
            taken(e);
        } else if (event instanceof Event.AttemptEnded e) {
            ended(e);
        } else if (event instanceof Event.RequestClosed e) {
            Held h = held.remove(e.id());
            if (h != null && h.target == null) {
                queued--;
            }
        } else if (event instanceof Event.WakeUp) {
            wakes = false;
            places.values().forEach(this::giveUp);
        }
    }

    private void listed(Event.EndpointListReceived e) {
        if (e.scope() == Event.ListScope.UNAVAILABLE) {
            return;
        }
        if (e.scope() != Event.ListScope.UPDATE) {
            places.values().forEach(p -> p.target = null);
        }
        for (Event.Target t : e.targets()) {
            Place p = places.computeIfAbsent(t.shard(), s -> new Place());
            shards.put(t.id(), t.shard());
            if (t.health() == Event.Health.ACTIVE) {
                p.target = t.id();
            } else if (t.id().equals(p.target)) {
                p.target = null;
            }
        }
    }

    private void taken(Event.RequestReceived e) {
        int shard =
                e.shard() >= 0 || places.isEmpty()
                        ? e.shard()
                        : new ArrayList<>(places.keySet()).get(chance.nextInt(places.size()));
        Held h = new Held(e, now + e.timeLeftMicros() - AHEAD);
        held.put(e.id(), h);
        if (h.until <= now || !places.containsKey(shard) || !drawn(e)) {
            reject(h);
            return;
        }
        queued++;
        places.get(shard).waiting.computeIfAbsent(e.volume(), v -> new ArrayDeque<>()).add(h);
    }

    /** An even part of the volume's limit. */
    private boolean drawn(Event.RequestReceived e) {
        SchedulerSettings.ServicePlan plan =
                given.plans().stream()
                        .filter(p -> p.name().equals(e.plan()))
                        .findFirst()
                        .orElseThrow();
        if (plan.limitRate() <= 0) {
            return true;
        }
        Store s = stores.computeIfAbsent(e.volume(), v -> new Store());
        double depth = plan.limitBurst() / e.initiatorCount();
        s.units =
                Math.min(
                        depth,
                        s.units + plan.limitRate() / e.initiatorCount() * (now - s.filledAt) / 1e6);
        s.filledAt = now;
        if (s.units < e.units()) {
            return false;
        }
        s.units -= e.units();
        return true;
    }

    private void serve(Place p) {
        while (p.target != null && p.out < window && !p.waiting.isEmpty()) {
            Iterator<Map.Entry<String, ArrayDeque<Held>>> first = p.waiting.entrySet().iterator();
            Map.Entry<String, ArrayDeque<Held>> turn = first.next();
            first.remove();
            ArrayDeque<Held> queue = turn.getValue();
            Held h = queue.poll();
            if (!queue.isEmpty()) {
                p.waiting.put(turn.getKey(), queue); // behind the others
            }
            if (h != null && held.get(h.access.id()) == h) {
                queued--;
                relay(p, h);
            }
        }
    }

    private void relay(Place p, Held h) {
        h.target = p.target;
        h.relays++;
        p.out++;
        actions.add(new Action.SendAttempt(h.access.id(), h.until, p.target));
    }

    private void ended(Event.AttemptEnded e) {
        Held h = held.get(e.id());
        if (h == null) {
            return;
        }
        Place p = places.get(shards.get(h.target));
        p.out--;
        if (e.answered() || e.outcome() == Outcome.SUCCEEDED) {
            held.remove(e.id());
            return;
        }
        boolean neverRan =
                e.outcome() == Outcome.OVERLOADED
                        || e.outcome() == Outcome.NOT_STARTED
                        || e.outcome() == Outcome.NO_CONNECTION;
        Idempotency repeats =
                given.requestClasses().stream()
                        .filter(c -> c.name().equals(h.access.requestClass()))
                        .findFirst()
                        .orElseThrow()
                        .idempotency();
        boolean may = neverRan || repeats == Idempotency.IDEMPOTENT;
        if (may
                && h.relays < Math.min(2, given.capabilities().maxAttempts())
                && now < h.until
                && p.target != null) {
            relay(p, h);
        } else if (may) {
            reject(h);
        } else {
            held.remove(e.id());
            actions.add(new Action.Fail(e.id()));
        }
    }

    private void giveUp(Place p) {
        p.waiting
                .values()
                .forEach(
                        q ->
                                q.removeIf(
                                        h -> {
                                            boolean late = now + LOOK >= h.until;
                                            boolean there = held.get(h.access.id()) == h;
                                            if (late && there) {
                                                queued--;
                                                reject(h);
                                            }
                                            return late || !there;
                                        }));
        p.waiting.values().removeIf(ArrayDeque::isEmpty);
    }

    private void reject(Held h) {
        held.remove(h.access.id());
        actions.add(new Action.Reject(h.access.id(), 0));
    }
}
