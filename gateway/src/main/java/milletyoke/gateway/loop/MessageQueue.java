package milletyoke.gateway.loop;

import java.util.ArrayDeque;
import org.jctools.queues.MpscArrayQueue;

/**
 * Queue of messages for the event loop: a bounded lock-free queue for other threads, and an
 * unbounded local queue for messages that the loop posts to itself, which are handled first.
 */
final class MessageQueue {
    /** The shared queue reserves one part in this many for messages other than requests. */
    private static final int RESERVED_DIVISOR = 4;

    private final MpscArrayQueue<LoopMessage> shared;
    private final ArrayDeque<LoopMessage> local = new ArrayDeque<>();
    private final int requestCapacity;

    MessageQueue(int capacity) {
        shared = new MpscArrayQueue<>(capacity);
        requestCapacity = shared.capacity() - shared.capacity() / RESERVED_DIVISOR;
    }

    /**
     * Adds a request unless only the reserved part of the queue is free. Any thread.
     *
     * @return false if the request was not added
     */
    boolean offerRequest(LoopMessage.RequestReceived request) {
        return shared.size() <= requestCapacity && shared.offer(request);
    }

    /** Adds a message; returns false if the queue is full. Any thread. */
    boolean offer(LoopMessage message) {
        return shared.offer(message);
    }

    /** Adds a message from the loop's own thread, without a bound. */
    void addLocal(LoopMessage message) {
        local.add(message);
    }

    /** Removes the next message; returns null if there is none. Loop's thread only. */
    LoopMessage poll() {
        LoopMessage message = local.poll();
        return message != null ? message : shared.poll();
    }

    /**
     * Removes the next message from another thread; returns null if there is none. The queue has a
     * single consumer: one caller at a time.
     */
    LoopMessage pollShared() {
        return shared.poll();
    }

    boolean isEmpty() {
        return shared.isEmpty() && local.isEmpty();
    }
}
