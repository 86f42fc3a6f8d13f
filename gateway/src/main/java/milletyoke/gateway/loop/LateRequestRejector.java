package milletyoke.gateway.loop;

import milletyoke.wire.proto.Reason;

/**
 * Rejects requests that are queued when the event loop has ended. Without it, a request that is
 * queued just as the loop ends, or after the loop failed, would get no response.
 */
final class LateRequestRejector {
    private final MessageQueue queue;
    private final EventLoop.LoopEnvironment environment;
    private final Counters counters;

    LateRequestRejector(
            MessageQueue queue, EventLoop.LoopEnvironment environment, Counters counters) {
        this.queue = queue;
        this.environment = environment;
        this.counters = counters;
    }

    /** Empties the queue. Called only after the loop has ended, by one thread at a time. */
    void rejectQueued() {
        LoopMessage message = queue.pollShared();
        while (message != null) {
            if (message instanceof LoopMessage.RequestReceived received) {
                reject(received);
            }
            message = queue.pollShared();
        }
    }

    private void reject(LoopMessage.RequestReceived received) {
        counters.increment(Counter.REJECTED_STATE);
        environment.releaseSlot(received.client(), received.request(), 0);
        long number = received.request().getNumber();
        received.client().send(ResponseFrames.rejected(number, Reason.SHUTTING_DOWN, 0));
    }
}
