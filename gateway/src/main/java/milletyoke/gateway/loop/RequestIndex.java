package milletyoke.gateway.loop;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import milletyoke.wire.Connection;

/** The tracked requests by id, by client and by expiry. Owned by the event loop. */
final class RequestIndex {
    private final Map<String, TrackedRequest> byId = new LinkedHashMap<>();
    private final Map<Connection, Map<Long, TrackedRequest>> byClient = new LinkedHashMap<>();

    /** May hold requests that are removed already; they are dropped when they come to the front. */
    private final PriorityQueue<TrackedRequest> byExpiry =
            new PriorityQueue<>(Comparator.comparingLong(tracked -> tracked.expiresAtMicros));

    void add(TrackedRequest tracked) {
        byId.put(tracked.id, tracked);
        byClient.computeIfAbsent(tracked.client, client -> new LinkedHashMap<>())
                .put(tracked.request.getNumber(), tracked);
        byExpiry.add(tracked);
    }

    /** Removes a request; false where it was removed before. */
    boolean remove(TrackedRequest tracked) {
        if (byId.remove(tracked.id) == null) {
            return false;
        }
        Map<Long, TrackedRequest> ofClient = byClient.get(tracked.client);
        ofClient.remove(tracked.request.getNumber());
        if (ofClient.isEmpty()) {
            byClient.remove(tracked.client);
        }
        return true;
    }

    boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** Null where there is none. */
    TrackedRequest find(String id) {
        return byId.get(id);
    }

    /** Null where there is none. */
    TrackedRequest find(Connection client, long number) {
        Map<Long, TrackedRequest> ofClient = byClient.get(client);
        return ofClient == null ? null : ofClient.get(number);
    }

    /** A copy of the client's requests; empty where it has none. */
    List<TrackedRequest> copyOfClient(Connection client) {
        Map<Long, TrackedRequest> ofClient = byClient.get(client);
        return ofClient == null ? List.of() : List.copyOf(ofClient.values());
    }

    List<TrackedRequest> copyOfAll() {
        return List.copyOf(byId.values());
    }

    /** Takes the next request that is answered or expired off the expiry order; null for none. */
    TrackedRequest pollAnsweredOrExpired(long nowMicros) {
        TrackedRequest front = byExpiry.peek();
        boolean canPoll = front != null && (front.isAnswered || front.expiresAtMicros < nowMicros);
        return canPoll ? byExpiry.poll() : null;
    }

    int size() {
        return byId.size();
    }
}
