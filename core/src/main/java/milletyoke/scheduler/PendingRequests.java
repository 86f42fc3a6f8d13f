package milletyoke.scheduler;

import java.util.List;
import java.util.Map;

/**
 * All requests from admission until they have their final response and their last attempt has
 * ended.
 */
final class PendingRequests {
    private final Map<String, PendingRequest> byId;
    private final DispatchQueue dispatchQueue;
    private final KeyOrdering keyOrdering;
    private final ExecutedRequests executedRequests;
    private long admittedCount;

    PendingRequests(
            Map<String, PendingRequest> byId,
            DispatchQueue dispatchQueue,
            KeyOrdering keyOrdering,
            ExecutedRequests executedRequests) {
        this.byId = byId;
        this.dispatchQueue = dispatchQueue;
        this.keyOrdering = keyOrdering;
        this.executedRequests = executedRequests;
    }

    /**
     * Returns the number of the request that is being admittedCount; each number is returned once.
     */
    long nextAdmissionNumber() {
        return admittedCount++;
    }

    void add(PendingRequest request) {
        byId.put(request.received.id(), request);
    }

    /** Returns the request with the given id, null for none. */
    PendingRequest find(String id) {
        return byId.get(id);
    }

    /** Returns a copy of the requests without a final response, in order of admission. */
    List<PendingRequest> unanswered() {
        return byId.values().stream().filter(request -> !request.answered).toList();
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    /** Updates all pending requests to the plans in force. */
    void applyPlans(ActiveSettings settings) {
        for (PendingRequest request : byId.values()) {
            request.plan = settings.plan(request.received.plan());
        }
    }

    /**
     * Completes a request that has its final response or lost its client; it is removed once no
     * attempt is in flight.
     */
    void complete(PendingRequest request) {
        request.answered = true;
        dispatchQueue.dequeue(request);
        if (request.inFlightTarget < 0) {
            byId.remove(request.received.id());
            request.volume.pendingCount--;
            executedRequests.complete(request);
            keyOrdering.remove(request);
        }
    }
}
