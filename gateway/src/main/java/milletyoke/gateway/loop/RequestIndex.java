package milletyoke.gateway.loop;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import milletyoke.wire.Connection;

/**
 * Indexes the tracked requests by id, by client and by expiry. A request that was removed is not
 * reachable from here any more, so that its payload takes no memory. Owned by the event loop.
 */
final class RequestIndex {
    private final Map<String, TrackedRequest> byId = new LinkedHashMap<>();
    private final Map<Connection, Map<Long, TrackedRequest>> byClient = new LinkedHashMap<>();

    /** Requests that were not polled, ordered by expiry and then by id. */
    private final NavigableSet<TrackedRequest> byExpiry =
            new TreeSet<>(
                    Comparator.<TrackedRequest>comparingLong(tracked -> tracked.expiresAtMicros)
                            .thenComparing(tracked -> tracked.id));

    void add(TrackedRequest tracked) {
        byId.put(tracked.id, tracked);
        byClient.computeIfAbsent(tracked.client, client -> new LinkedHashMap<>())
                .put(tracked.request.getNumber(), tracked);
        byExpiry.add(tracked);
    }

    /** Removes a request; returns false if it was already removed. */
    boolean remove(TrackedRequest tracked) {
        if (byId.remove(tracked.id) == null) {
            return false;
        }
        byExpiry.remove(tracked);
        Map<Long, TrackedRequest> clientRequests = byClient.get(tracked.client);
        clientRequests.remove(tracked.request.getNumber());
        if (clientRequests.isEmpty()) {
            byClient.remove(tracked.client);
        }
        return true;
    }

    boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** Returns the request with this id; null if there is none. */
    TrackedRequest find(String id) {
        return byId.get(id);
    }

    /** Returns the client's request with this number; null if there is none. */
    TrackedRequest find(Connection client, long number) {
        Map<Long, TrackedRequest> clientRequests = byClient.get(client);
        return clientRequests == null ? null : clientRequests.get(number);
    }

    /** Returns a copy of the client's requests; empty if it has none. */
    List<TrackedRequest> copyOfClient(Connection client) {
        Map<Long, TrackedRequest> clientRequests = byClient.get(client);
        return clientRequests == null ? List.of() : List.copyOf(clientRequests.values());
    }

    List<TrackedRequest> copyOfAll() {
        return List.copyOf(byId.values());
    }

    /**
     * Removes the head of the expiry queue and returns it if it is resolved or expired; returns
     * null otherwise.
     */
    TrackedRequest pollResolvedOrExpired(long nowMicros) {
        if (byExpiry.isEmpty()) {
            return null;
        }
        TrackedRequest head = byExpiry.first();
        boolean canPoll = head.isResolved || head.expiresAtMicros < nowMicros;
        return canPoll ? byExpiry.pollFirst() : null;
    }

    int size() {
        return byId.size();
    }
}
