package milletyoke.scenario.audit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Scope;
import milletyoke.wire.proto.Target;

/**
 * The observed state of an initiator from one start to its end: its endpoint list, requests and
 * attempts.
 */
final class Incarnation {
    final String initiator;
    final long startedAtMicros;
    final Map<String, ObservedRequest> requests = new LinkedHashMap<>();
    final Map<Integer, Map<Long, ObservedRequest.ObservedAttempt>> attemptsByConnection =
            new HashMap<>();
    final Map<Integer, Map<Long, ObservedRequest>> requestsByClient = new HashMap<>();
    final Map<String, ObservedEndpoint> endpoints = new HashMap<>();
    final Map<String, ArrayDeque<ObservedRequest>> requestsByKey = new HashMap<>();
    final Map<String, Long> possiblyRunningByKey = new HashMap<>();
    final ArrayDeque<Long> requestTimes = new ArrayDeque<>();
    final ArrayDeque<Long> retryTimes = new ArrayDeque<>();

    /** When the initiator was killed; -1 while it runs. */
    long killedAtMicros = -1;

    /**
     * The last endpoint list entry of a target, and since when the list has withdrawn the target;
     * -1 if it is available.
     */
    static final class ObservedEndpoint {
        Target entry;
        long unavailableSince = -1;
        int unavailableFrame = -1;
        final Map<Long, Long> startReportedAtMicros = new HashMap<>();
    }

    Incarnation(String initiator, long startedAtMicros) {
        this.initiator = initiator;
        this.startedAtMicros = startedAtMicros;
    }

    void onEndpointList(EndpointList list, long atMicros, int frame) {
        if (list.getScope() == Scope.UNAVAILABLE) {
            return;
        }
        if (list.getScope() == Scope.REPLACE) {
            var listedIds = list.getTargetList().stream().map(Target::getId).toList();
            endpoints.forEach(
                    (id, endpoint) -> {
                        if (!listedIds.contains(id)) {
                            markUnavailable(endpoint, atMicros, frame);
                        }
                    });
        }
        for (Target target : list.getTargetList()) {
            ObservedEndpoint endpoint =
                    endpoints.computeIfAbsent(target.getId(), id -> new ObservedEndpoint());
            endpoint.entry = target;
            endpoint.startReportedAtMicros.putIfAbsent(target.getStartedAtMicros(), atMicros);
            if (target.getHealth() == Health.ACTIVE) {
                endpoint.unavailableSince = -1;
            } else {
                markUnavailable(endpoint, atMicros, frame);
            }
        }
    }

    private static void markUnavailable(ObservedEndpoint endpoint, long atMicros, int frame) {
        if (endpoint.unavailableSince < 0) {
            endpoint.unavailableSince = atMicros;
            endpoint.unavailableFrame = frame;
        }
    }
}
