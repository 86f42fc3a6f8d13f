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
 * Holds the targets of the endpoint list, with times on this initiator's clock, and the targets
 * that an operator drained on this initiator. A target's start time is converted from discovery's
 * clock once and then kept: converted anew with each list it would vary slightly, and the scheduler
 * would take each variation for a restart of the target. Owned by the event loop.
 */
final class EndpointRegistry {
    /**
     * Bound on remembered start times and drained targets; exceeds what one endpoint list can hold.
     */
    private static final int MAX_REMEMBERED_TARGETS = 1 << 17;

    /** Listens for targets that are listed, drain or are removed from the list. */
    interface TargetListener {
        /** Called when a target is listed, with its current address. */
        void onListed(String target, Address address);

        /** Called when a target drains: it is sent no new attempts and finishes those it has. */
        void onDraining(String target);

        /** Called when a target is no longer listed. */
        void onUnlisted(String target);
    }

    private record StartTime(long discoveryMicros, long localMicros) {}

    private final TargetListener listener;
    private final Map<String, Target> targetsById = new LinkedHashMap<>();
    private final Map<String, StartTime> startTimes = new LinkedHashMap<>();

    /**
     * Targets that an operator drained on this initiator; kept across endpoint lists until
     * undrained.
     */
    private final Set<String> drainedByOperator = new TreeSet<>();

    private long revision;
    private long discoveryNowMicros;

    EndpointRegistry(TargetListener listener) {
        this.listener = listener;
    }

    /** Returns the revision of the current endpoint list. */
    long revision() {
        return revision;
    }

    /**
     * Applies an endpoint list or an update of it.
     *
     * @param nowMicros when the list was received, on this initiator's clock
     * @param isRestored whether the list was read from the cache at startup
     * @return the event for the scheduler
     */
    Event.EndpointListReceived apply(long nowMicros, EndpointList list, boolean isRestored) {
        boolean isUpdate = list.getScope() == Scope.UPDATE;
        Set<String> missing = new TreeSet<>(isUpdate ? Set.of() : targetsById.keySet());
        List<Event.Target> targets = new ArrayList<>();
        for (Target target : list.getTargetList()) {
            missing.remove(target.getId());
            applyTarget(target);
            targets.add(
                    new Event.Target(
                            target.getShard(),
                            target.getId(),
                            target.getZone(),
                            health(target, drainedByOperator.contains(target.getId())),
                            startTimeMicros(nowMicros, target, list)));
        }
        if (!isUpdate) {
            missing.forEach(this::remove);
            startTimes.keySet().retainAll(targetsById.keySet());
        }
        revision = list.getRevision();
        discoveryNowMicros = list.getNow();
        return new Event.EndpointListReceived(scope(isUpdate, isRestored), List.copyOf(targets));
    }

    private static Event.ListScope scope(boolean isUpdate, boolean isRestored) {
        if (isRestored) {
            return Event.ListScope.RESTORED;
        }
        return isUpdate ? Event.ListScope.UPDATE : Event.ListScope.REPLACE;
    }

    private void applyTarget(Target target) {
        if (target.getHealth() == Health.REMOVED) {
            remove(target.getId());
            return;
        }
        targetsById.put(target.getId(), target);
        listener.onListed(target.getId(), new Address(target.getHost(), target.getPort()));
        if (target.getHealth() != Health.ACTIVE) {
            listener.onDraining(target.getId());
        }
    }

    private void remove(String targetId) {
        targetsById.remove(targetId);
        listener.onUnlisted(targetId);
    }

    /**
     * Drains a target on this initiator only, or undrains it.
     *
     * @return the event for the scheduler, as if discovery had sent the change; null if nothing
     *     changes or the target is not listed
     */
    Event.EndpointListReceived setDrained(long nowMicros, String targetId, boolean isDrained) {
        boolean isChanged =
                isDrained
                        ? drainedByOperator.size() < MAX_REMEMBERED_TARGETS
                                && drainedByOperator.add(targetId)
                        : drainedByOperator.remove(targetId);
        Target target = targetsById.get(targetId);
        if (!isChanged || target == null) {
            return null;
        }
        StartTime startTime = startTimes.get(targetId);
        Event.Target change =
                new Event.Target(
                        target.getShard(),
                        targetId,
                        target.getZone(),
                        health(target, isDrained),
                        startTime == null ? 0 : startTime.localMicros());
        return new Event.EndpointListReceived(Event.ListScope.UPDATE, List.of(change));
    }

    boolean isDrainedByOperator(String targetId) {
        return drainedByOperator.contains(targetId);
    }

    boolean isListed(String targetId) {
        return targetsById.containsKey(targetId);
    }

    /** Returns the health in the endpoint list as the console shows it; null if not listed. */
    String healthLabel(String targetId) {
        Target target = targetsById.get(targetId);
        if (target == null) {
            return null;
        }
        return target.getHealth() == Health.ACTIVE ? "on" : "draining";
    }

    /** Returns the number of targets that may be sent new attempts. */
    int usableCount() {
        int usableCount = 0;
        for (Target target : targetsById.values()) {
            if (target.getHealth() == Health.ACTIVE
                    && !drainedByOperator.contains(target.getId())) {
                usableCount++;
            }
        }
        return usableCount;
    }

    /**
     * Converts a health. A value unknown to this version counts as draining, so that nothing new is
     * sent to the target.
     */
    private static Event.Health health(Target target, boolean isDrainedByOperator) {
        return switch (target.getHealth()) {
            case ACTIVE -> isDrainedByOperator ? Event.Health.DRAINING : Event.Health.ACTIVE;
            case REMOVED -> Event.Health.REMOVED;
            default -> Event.Health.DRAINING;
        };
    }

    private long startTimeMicros(long nowMicros, Target target, EndpointList list) {
        if (target.getStartedAtMicros() == 0) {
            return 0;
        }
        StartTime known = startTimes.get(target.getId());
        if (known != null && known.discoveryMicros() == target.getStartedAtMicros()) {
            return known.localMicros();
        }
        long ageMicros = Math.max(0, list.getNow() - target.getStartedAtMicros());
        long localMicros = Math.max(1, nowMicros - ageMicros);
        if (startTimes.size() < MAX_REMEMBERED_TARGETS) {
            startTimes.put(target.getId(), new StartTime(target.getStartedAtMicros(), localMicros));
        }
        return localMicros;
    }

    /** Returns the complete current list, for the cache that is read at the next start. */
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
