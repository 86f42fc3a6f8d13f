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
 * The targets as discovery listed them, with times on this initiator's clock, and those that an
 * operator drained here. A target's start time is converted from discovery's clock once and then
 * kept: one that moved a little with each list would be read as a restart. Owned by the event loop.
 */
final class EndpointRegistry {
    /** Bounds what is remembered; more targets than an endpoint list of one frame can hold. */
    private static final int MAX_START_TIMES = 1 << 17;

    /** Is notified of targets whose address or health changes. */
    interface TargetListener {
        /** The target is in the list, at this address. */
        void onListed(String target, Address address);

        /** The target is to be sent nothing new; it finishes what it has. */
        void onDraining(String target);

        /** The target is no longer in the list. */
        void onUnlisted(String target);
    }

    private record StartTime(long discoveryMicros, long localMicros) {}

    private final TargetListener listener;
    private final Map<String, Target> targetsById = new LinkedHashMap<>();
    private final Map<String, StartTime> startTimes = new LinkedHashMap<>();

    /** Targets that an operator drained here; they stay so over new lists until put back. */
    private final Set<String> drainedByOperator = new TreeSet<>();

    private long revision;
    private long discoveryNowMicros;

    EndpointRegistry(TargetListener listener) {
        this.listener = listener;
    }

    /** The revision of the list that is in force. */
    long revision() {
        return revision;
    }

    /**
     * Applies a list or an update of it.
     *
     * @param nowMicros when the list came, on this initiator's clock
     * @param isRestored the list was saved before a restart
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
     * Drains a target for this initiator alone, or puts it back.
     *
     * @return the event for the scheduler, as if discovery had sent the change; null where nothing
     *     changes or the target is not listed
     */
    Event.EndpointListReceived setDrained(long nowMicros, String targetId, boolean isDrained) {
        boolean isChanged =
                isDrained
                        ? drainedByOperator.size() < MAX_START_TIMES
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

    /** The console's word for the health that discovery lists; null where it is not listed. */
    String healthLabel(String targetId) {
        Target target = targetsById.get(targetId);
        if (target == null) {
            return null;
        }
        return target.getHealth() == Health.ACTIVE ? "on" : "draining";
    }

    /** How many targets may be sent to. */
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

    /** A health that this version does not know counts as draining: then no rule can be broken. */
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
        if (startTimes.size() < MAX_START_TIMES) {
            startTimes.put(target.getId(), new StartTime(target.getStartedAtMicros(), localMicros));
        }
        return localMicros;
    }

    /** The whole list as it is in force, to be saved for a restart. */
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
