package milletyoke.gateway.loop;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import milletyoke.gateway.config.Address;
import milletyoke.scheduler.api.Event;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Scope;
import milletyoke.wire.proto.Target;

/**
 * The list of targets as discovery told it, on this initiator's clock. A target's start is set
 * against discovery's clock once and then kept: a start that moved a little with each list would
 * read as a restart.
 */
final class EndpointRegistry {
    /** More targets than any list of one frame can hold are not remembered. */
    private static final int MOST_STARTS = 1 << 17;

    /** What becomes of addresses. */
    interface Addresses {
        void listed(String target, Address address);

        /** It finishes what it has. */
        void draining(String target);

        void unlisted(String target);
    }

    private record Start(long told, long local) {}

    private final Addresses addresses;
    private final Map<String, Target> held = new LinkedHashMap<>();
    private final Map<String, Start> starts = new LinkedHashMap<>();

    /**
     * Targets that an operator took out of service here; they stay so over new lists until put
     * back.
     */
    private final Set<String> drainedHere = new TreeSet<>();

    private long version;
    private long toldNow;

    EndpointRegistry(Addresses addresses) {
        this.addresses = addresses;
    }

    /** The version held, to be told to discovery. */
    long version() {
        return version;
    }

    /**
     * @param now when the list came, on this initiator's clock
     */
    Event.EndpointListReceived listed(long now, EndpointList list, boolean restored) {
        Set<String> leftOut =
                new TreeSet<>(list.getScope() == Scope.UPDATE ? Set.of() : held.keySet());
        List<Event.Target> targets = new ArrayList<>();
        for (Target t : list.getTargetList()) {
            leftOut.remove(t.getId());
            take(t);
            boolean here = drainedHere.contains(t.getId()) && t.getHealth() == Health.ACTIVE;
            targets.add(
                    new Event.Target(
                            t.getShard(),
                            t.getId(),
                            t.getZone(),
                            here ? Event.Health.DRAINING : health(t),
                            start(now, t, list)));
        }
        if (list.getScope() != Scope.UPDATE) {
            leftOut.forEach(this::leave);
            starts.keySet().retainAll(held.keySet());
        }
        version = list.getRevision();
        toldNow = list.getNow();
        Event.ListScope scope =
                restored
                        ? Event.ListScope.RESTORED
                        : list.getScope() == Scope.UPDATE
                                ? Event.ListScope.UPDATE
                                : Event.ListScope.REPLACE;
        return new Event.EndpointListReceived(scope, List.copyOf(targets));
    }

    private void take(Target t) {
        if (t.getHealth() == Health.REMOVED) {
            leave(t.getId());
            return;
        }
        held.put(t.getId(), t);
        addresses.listed(t.getId(), new Address(t.getHost(), t.getPort()));
        if (t.getHealth() != Health.ACTIVE) {
            addresses.draining(t.getId());
        }
    }

    private void leave(String target) {
        held.remove(target);
        addresses.unlisted(target);
    }

    /** Null where the target is not listed; else a change as if discovery had told it. */
    Event.EndpointListReceived drain(long now, String target, boolean on) {
        if (on
                ? drainedHere.size() >= MOST_STARTS || !drainedHere.add(target)
                : !drainedHere.remove(target)) {
            return null;
        }
        Target t = held.get(target);
        if (t == null) {
            return null;
        }
        Event.Health health =
                on && t.getHealth() == Health.ACTIVE ? Event.Health.DRAINING : health(t);
        long launched = starts.containsKey(target) ? starts.get(target).local() : 0;
        return new Event.EndpointListReceived(
                Event.ListScope.UPDATE,
                List.of(new Event.Target(t.getShard(), target, t.getZone(), health, launched)));
    }

    boolean isDrainedHere(String target) {
        return drainedHere.contains(target);
    }

    boolean isListed(String target) {
        return held.containsKey(target);
    }

    /** In a word how discovery has it; null where it is not listed. */
    String listedAs(String target) {
        Target t = held.get(target);
        return t == null ? null : t.getHealth() == Health.ACTIVE ? "on" : "draining";
    }

    /** Targets that may be sent to. */
    int usable() {
        return (int)
                held.values().stream()
                        .filter(
                                t ->
                                        t.getHealth() == Health.ACTIVE
                                                && !drainedHere.contains(t.getId()))
                        .count();
    }

    private static Event.Health health(Target t) {
        return switch (t.getHealth()) {
            case ACTIVE -> Event.Health.ACTIVE;
            case REMOVED -> Event.Health.REMOVED;
            default ->
                    Event.Health
                            .DRAINING; // of a state not known here: the side on which no rule can
                // break
        };
    }

    private long start(long now, Target t, EndpointList list) {
        if (t.getStartedAtMicros() == 0) {
            return 0;
        }
        Start known = starts.get(t.getId());
        if (known == null || known.told() != t.getStartedAtMicros()) {
            long local = Math.max(1, now - Math.max(0, list.getNow() - t.getStartedAtMicros()));
            known = new Start(t.getStartedAtMicros(), local);
            if (starts.size() < MOST_STARTS) {
                starts.put(t.getId(), known);
            }
        }
        return known.local();
    }

    /** The whole list as held, to be kept over a restart. */
    EndpointList whole() {
        return EndpointList.newBuilder()
                .setRevision(version)
                .setScope(Scope.REPLACE)
                .setNow(toldNow)
                .addAllTarget(held.values())
                .build();
    }

    int size() {
        return held.size();
    }
}
