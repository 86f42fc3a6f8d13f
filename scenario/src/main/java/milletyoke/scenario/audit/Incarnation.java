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
    final Map<String, ObservedAttempts> accesses = new LinkedHashMap<>();
    final Map<Integer, Map<Long, ObservedAttempts.Sent>> out = new HashMap<>();
    final Map<Integer, Map<Long, ObservedAttempts>> byClient = new HashMap<>();
    final Map<String, Listed> list = new HashMap<>();
    final Map<String, ArrayDeque<ObservedAttempts>> keys = new HashMap<>();
    final Map<String, Long> keyUnsure = new HashMap<>();
    final ArrayDeque<Long> taken = new ArrayDeque<>();
    final ArrayDeque<Long> further = new ArrayDeque<>();

    /** -1 while it runs. */
    long killedAt = -1;

    /**
     * What it was told last of a target, and when it was told that nothing new may go there (-1: it
     * may).
     */
    static final class Listed {
        Target entry;
        long barredAt = -1;
        int barredFrame = -1;
        final Map<Long, Long> startToldAt = new HashMap<>();
    }

    Incarnation(String initiator, long since) {
        this.initiator = initiator;
        this.since = since;
    }

    void told(EndpointList told, long at, int frame) {
        if (told.getScope() == Scope.UNAVAILABLE) {
            return;
        }
        if (told.getScope() == Scope.REPLACE) {
            var there = told.getTargetList().stream().map(Target::getId).toList();
            list.forEach(
                    (id, listed) -> {
                        if (!there.contains(id)) {
                            bar(listed, at, frame);
                        }
                    });
        }
        for (Target t : told.getTargetList()) {
            Listed listed = list.computeIfAbsent(t.getId(), id -> new Listed());
            listed.entry = t;
            listed.startToldAt.putIfAbsent(t.getStartedAtMicros(), at);
            if (t.getHealth() == Health.ACTIVE) {
                listed.barredAt = -1;
            } else {
                bar(listed, at, frame);
            }
        }
    }

    private static void bar(Listed listed, long at, int frame) {
        if (listed.barredAt < 0) {
            listed.barredAt = at;
            listed.barredFrame = frame;
        }
    }
}
