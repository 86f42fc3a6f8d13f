package milletyoke.gateway.loop;

import java.util.ArrayDeque;
import org.jctools.queues.MpscArrayQueue;

/**
 * The messages that wait for the event loop: a bounded lock-free queue from other threads, and a
 * list of those that the loop's thread posts to itself, which are handled first.
 */
final class MessageQueue {
    /** One part in so many of the shared queue is kept free of requests. */
    private static final int RESERVED_FRACTION = 4;

    private final MpscArrayQueue<LoopMessage> shared;
    private final ArrayDeque<LoopMessage> local = new ArrayDeque<>();
    private final int requestCapacity;

    MessageQueue(int capacity) {
        shared = new MpscArrayQueue<>(capacity);
        requestCapacity = shared.capacity() - shared.capacity() / RESERVED_FRACTION;
    }

    /**
     * Adds a request unless only the part that is reserved for other messages is left. Any thread.
     *
     * @return false where the request was not added
     */
    boolean offerRequest(LoopMessage.RequestReceived request) {
        return shared.size() <= requestCapacity && shared.offer(request);
    }

    /** Adds a message; false where the queue is full. Any thread. */
    boolean offer(LoopMessage message) {
        return shared.offer(message);
    }

    /** Adds a message of the loop's own thread, without bound. */
    void addLocal(LoopMessage message) {
        local.add(message);
    }

    /** Removes the next message; null where there is none. Loop's thread. */
    LoopMessage poll() {
        LoopMessage message = local.poll();
        return message != null ? message : shared.poll();
    }

    /** Removes the next message of another thread; null where there is none. One caller a time. */
    LoopMessage pollShared() {
        return shared.poll();
    }

    boolean isEmpty() {
        return shared.isEmpty() && local.isEmpty();
    }
}
