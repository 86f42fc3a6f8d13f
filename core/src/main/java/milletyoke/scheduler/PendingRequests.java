package milletyoke.scheduler;

import java.util.Map;

/** The requests from admission to their final answer, and on until their last attempt has ended. */
final class PendingRequests {
    private final Map<String, PendingRequest> byId;
    private final DispatchQueue dispatchQueue;
    private final KeyOrdering keyOrdering;
    private long admitted;

    PendingRequests(
            Map<String, PendingRequest> byId,
            DispatchQueue dispatchQueue,
            KeyOrdering keyOrdering) {
        this.byId = byId;
        this.dispatchQueue = dispatchQueue;
        this.keyOrdering = keyOrdering;
    }

    /** The number of the request that is admitted now; each number is given once. */
    long nextAdmissionNumber() {
        return admitted++;
    }

    void add(PendingRequest request) {
        byId.put(request.received.id(), request);
    }

    /** The request of that id, null where there is none. */
    PendingRequest find(String id) {
        return byId.get(id);
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    /** All pending requests follow the plans in force. */
    void applyPlans(ActiveSettings settings) {
        for (PendingRequest request : byId.values()) {
            request.plan = settings.plan(request.received.plan());
        }
    }

    /** A request has its final answer or lost its client; it goes once no attempt is in flight. */
    void complete(PendingRequest request) {
        request.answered = true;
        dispatchQueue.dequeue(request);
        if (request.inFlightTarget < 0) {
            byId.remove(request.received.id());
            request.volume.pendingCount--;
            keyOrdering.remove(request);
        }
    }
}
