package milletyoke.scenario.audit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Scope;
import milletyoke.wire.proto.Target;

/** One life of an initiator: what it was told and what it holds. */
final class Incarnation {
    final String initiator;
    final long since;
    final Map<String, ObservedRequest> requests = new LinkedHashMap<>();
    final Map<Integer, Map<Long, ObservedRequest.ObservedAttempt>> attemptsByConnection =
            new HashMap<>();
    final Map<Integer, Map<Long, ObservedRequest>> requestsByClient = new HashMap<>();
    final Map<String, ObservedEndpoint> endpoints = new HashMap<>();
    final Map<String, ArrayDeque<ObservedRequest>> keys = new HashMap<>();
    final Map<String, Long> keyUnsure = new HashMap<>();
    final ArrayDeque<Long> taken = new ArrayDeque<>();
    final ArrayDeque<Long> further = new ArrayDeque<>();

    /** -1 while it runs. */
    long killedAt = -1;

    /**
     * What it was told last of a target, and when it was told that nothing new may go there (-1: it
     * may).
     */
    static final class ObservedEndpoint {
        Target entry;
        long unavailableSince = -1;
        int unavailableFrame = -1;
        final Map<Long, Long> startReportedAt = new HashMap<>();
    }

    Incarnation(String initiator, long since) {
        this.initiator = initiator;
        this.since = since;
    }

    void onEndpointList(EndpointList told, long at, int frame) {
        if (told.getScope() == Scope.UNAVAILABLE) {
            return;
        }
        if (told.getScope() == Scope.REPLACE) {
            var there = told.getTargetList().stream().map(Target::getId).toList();
            endpoints.forEach(
                    (id, listed) -> {
                        if (!there.contains(id)) {
                            bar(listed, at, frame);
                        }
                    });
        }
        for (Target t : told.getTargetList()) {
            ObservedEndpoint listed =
                    endpoints.computeIfAbsent(t.getId(), id -> new ObservedEndpoint());
            listed.entry = t;
            listed.startReportedAt.putIfAbsent(t.getStartedAtMicros(), at);
            if (t.getHealth() == Health.ACTIVE) {
                listed.unavailableSince = -1;
            } else {
                bar(listed, at, frame);
            }
        }
    }

    private static void bar(ObservedEndpoint listed, long at, int frame) {
        if (listed.unavailableSince < 0) {
            listed.unavailableSince = at;
            listed.unavailableFrame = frame;
        }
    }
}
