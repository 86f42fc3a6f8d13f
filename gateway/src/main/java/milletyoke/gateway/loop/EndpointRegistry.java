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
    private static final int MAX_START_TIMES = 1 << 17;

    /** What becomes of addresses. */
    interface TargetListener {
        void onListed(String target, Address address);

        /** It finishes what it has. */
        void onDraining(String target);

        void onUnlisted(String target);
    }

    private record StartTime(long discoveryMicros, long localMicros) {}

    private final TargetListener listener;
    private final Map<String, Target> targetsById = new LinkedHashMap<>();
    private final Map<String, StartTime> startTimes = new LinkedHashMap<>();

    /**
     * Targets that an operator took out of service here; they stay so over new lists until put
     * back.
     */
    private final Set<String> drainedByOperator = new TreeSet<>();

    private long revision;
    private long discoveryNowMicros;

    EndpointRegistry(TargetListener addresses) {
        this.listener = addresses;
    }

    /** The version held, to be told to discovery. */
    long revision() {
        return revision;
    }

    /**
     * @param now when the list came, on this initiator's clock
     */
    Event.EndpointListReceived apply(long now, EndpointList list, boolean restored) {
        Set<String> leftOut =
                new TreeSet<>(list.getScope() == Scope.UPDATE ? Set.of() : targetsById.keySet());
        List<Event.Target> targets = new ArrayList<>();
        for (Target t : list.getTargetList()) {
            leftOut.remove(t.getId());
            applyTarget(t);
            boolean here = drainedByOperator.contains(t.getId()) && t.getHealth() == Health.ACTIVE;
            targets.add(
                    new Event.Target(
                            t.getShard(),
                            t.getId(),
                            t.getZone(),
                            here ? Event.Health.DRAINING : health(t),
                            startTimeMicros(now, t, list)));
        }
        if (list.getScope() != Scope.UPDATE) {
            leftOut.forEach(this::remove);
            startTimes.keySet().retainAll(targetsById.keySet());
        }
        revision = list.getRevision();
        discoveryNowMicros = list.getNow();
        Event.ListScope scope =
                restored
                        ? Event.ListScope.RESTORED
                        : list.getScope() == Scope.UPDATE
                                ? Event.ListScope.UPDATE
                                : Event.ListScope.REPLACE;
        return new Event.EndpointListReceived(scope, List.copyOf(targets));
    }

    private void applyTarget(Target t) {
        if (t.getHealth() == Health.REMOVED) {
            remove(t.getId());
            return;
        }
        targetsById.put(t.getId(), t);
        listener.onListed(t.getId(), new Address(t.getHost(), t.getPort()));
        if (t.getHealth() != Health.ACTIVE) {
            listener.onDraining(t.getId());
        }
    }

    private void remove(String target) {
        targetsById.remove(target);
        listener.onUnlisted(target);
    }

    /** Null where the target is not listed; else a change as if discovery had told it. */
    Event.EndpointListReceived setDrained(long now, String target, boolean on) {
        if (on
                ? drainedByOperator.size() >= MAX_START_TIMES || !drainedByOperator.add(target)
                : !drainedByOperator.remove(target)) {
            return null;
        }
        Target t = targetsById.get(target);
        if (t == null) {
            return null;
        }
        Event.Health health =
                on && t.getHealth() == Health.ACTIVE ? Event.Health.DRAINING : health(t);
        long launched = startTimes.containsKey(target) ? startTimes.get(target).localMicros() : 0;
        return new Event.EndpointListReceived(
                Event.ListScope.UPDATE,
                List.of(new Event.Target(t.getShard(), target, t.getZone(), health, launched)));
    }

    boolean isDrainedByOperator(String target) {
        return drainedByOperator.contains(target);
    }

    boolean isListed(String target) {
        return targetsById.containsKey(target);
    }

    /** In a word how discovery has it; null where it is not listed. */
    String healthLabel(String target) {
        Target t = targetsById.get(target);
        return t == null ? null : t.getHealth() == Health.ACTIVE ? "on" : "draining";
    }

    /** Targets that may be sent to. */
    int usableCount() {
        return (int)
                targetsById.values().stream()
                        .filter(
                                t ->
                                        t.getHealth() == Health.ACTIVE
                                                && !drainedByOperator.contains(t.getId()))
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

    private long startTimeMicros(long now, Target t, EndpointList list) {
        if (t.getStartedAtMicros() == 0) {
            return 0;
        }
        StartTime known = startTimes.get(t.getId());
        if (known == null || known.discoveryMicros() != t.getStartedAtMicros()) {
            long local = Math.max(1, now - Math.max(0, list.getNow() - t.getStartedAtMicros()));
            known = new StartTime(t.getStartedAtMicros(), local);
            if (startTimes.size() < MAX_START_TIMES) {
                startTimes.put(t.getId(), known);
            }
        }
        return known.localMicros();
    }

    /** The whole list as held, to be kept over a restart. */
    EndpointList snapshot() {
        return EndpointList.newBuilder()
                .setRevision(revision)
                .setScope(Scope.REPLACE)
                .setNow(discoveryNowMicros)
                .addAllTarget(targetsById.values())
                .build();
    }

    int size() {
        return targetsById.size();
    }
}
