package milletyoke.gateway.loop;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import milletyoke.gateway.setup.Address;
import milletyoke.port.Event;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Scope;
import milletyoke.wire.proto.Target;
import milletyoke.wire.proto.TargetList;

/**
 * The list of targets as discovery told it, on this initiator's clock. A target's start is set
 * against discovery's clock once and then kept: a start that moved a little with each list would
 * read as a restart.
 */
final class Roster {
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

    Roster(Addresses addresses) {
        this.addresses = addresses;
    }

    /** The version held, to be told to discovery. */
    long version() {
        return version;
    }

    /**
     * @param now when the list came, on this initiator's clock
     */
    Event.TargetList listed(long now, TargetList list, boolean restored) {
        Set<String> leftOut =
                new TreeSet<>(list.getScope() == Scope.UPDATE ? Set.of() : held.keySet());
        List<Event.Target> targets = new ArrayList<>();
        for (Target t : list.getTargetList()) {
            leftOut.remove(t.getId());
            take(t);
            boolean here = drainedHere.contains(t.getId()) && t.getHealth() == Health.ON;
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
        version = list.getVersion();
        toldNow = list.getNow();
        Event.Scope scope =
                restored
                        ? Event.Scope.RESTORED
                        : list.getScope() == Scope.UPDATE
                                ? Event.Scope.UPDATE
                                : Event.Scope.REPLACE;
        return new Event.TargetList(scope, List.copyOf(targets));
    }

    private void take(Target t) {
        if (t.getHealth() == Health.GONE) {
            leave(t.getId());
            return;
        }
        held.put(t.getId(), t);
        addresses.listed(t.getId(), new Address(t.getHost(), t.getPort()));
        if (t.getHealth() != Health.ON) {
            addresses.draining(t.getId());
        }
    }

    private void leave(String target) {
        held.remove(target);
        addresses.unlisted(target);
    }

    /** Null where the target is not listed; else a change as if discovery had told it. */
    Event.TargetList drain(long now, String target, boolean on) {
        if (on
                ? drainedHere.size() >= MOST_STARTS || !drainedHere.add(target)
                : !drainedHere.remove(target)) {
            return null;
        }
        Target t = held.get(target);
        if (t == null) {
            return null;
        }
        Event.Health health = on && t.getHealth() == Health.ON ? Event.Health.DRAINING : health(t);
        long launched = starts.containsKey(target) ? starts.get(target).local() : 0;
        return new Event.TargetList(
                Event.Scope.UPDATE,
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
        return t == null ? null : t.getHealth() == Health.ON ? "on" : "draining";
    }

    /** Targets that may be sent to. */
    int usable() {
        return (int)
                held.values().stream()
                        .filter(t -> t.getHealth() == Health.ON && !drainedHere.contains(t.getId()))
                        .count();
    }

    private static Event.Health health(Target t) {
        return switch (t.getHealth()) {
            case ON -> Event.Health.ON;
            case GONE -> Event.Health.GONE;
            default ->
                    Event.Health
                            .DRAINING; // of a state not known here: the side on which no rule can
                // break
        };
    }

    private long start(long now, Target t, TargetList list) {
        if (t.getLaunched() == 0) {
            return 0;
        }
        Start known = starts.get(t.getId());
        if (known == null || known.told() != t.getLaunched()) {
            long local = Math.max(1, now - Math.max(0, list.getNow() - t.getLaunched()));
            known = new Start(t.getLaunched(), local);
            if (starts.size() < MOST_STARTS) {
                starts.put(t.getId(), known);
            }
        }
        return known.local();
    }

    /** The whole list as held, to be kept over a restart. */
    TargetList whole() {
        return TargetList.newBuilder()
                .setVersion(version)
                .setScope(Scope.REPLACE)
                .setNow(toldNow)
                .addAllTarget(held.values())
                .build();
    }

    int size() {
        return held.size();
    }
}
