package milletyoke.wire;

import milletyoke.wire.proto.Frame;

/**
 * A connection to a peer: over a socket in production, over a modelled network in the simulation.
 */
public interface Connection {
    /** Returns an id that is unique in this process. */
    int id();

    /** Returns whether frames can still be sent. */
    boolean isOpen();

    /**
     * Sends a frame without waiting. Any thread may call this.
     *
     * @return false if the connection is known to be closed and no part of the frame was sent; true
     *     does not guarantee that the frame arrives
     */
    boolean send(Frame frame);

    /**
     * Like {@link #send}, but may buffer the frame until {@link #flush}, so that the frames of one
     * event loop pass are sent in one write. Only the thread that also flushes may call this.
     * Frames that other threads send in the meantime may be sent earlier.
     */
    default boolean enqueue(Frame frame) {
        return send(frame);
    }

    /** Writes all enqueued frames. */
    default void flush() {}

    /**
     * Returns whether the owner of the connection reports when a frame was written. If not, a frame
     * counts as written when it was accepted.
     */
    default boolean reportsWrites() {
        return false;
    }

    /** Called on the event loop's thread when it has handled a reply received on the connection. */
    default void replyHandled() {}

    /** Sends the reason to the peer and closes the connection; unwritten frames may be lost. */
    void closeWithReason(String reason);

    /**
     * Closes the connection immediately and notifies the listener once. When this method returns,
     * the connection has ended for the peer: no part of a frame is sent any more. The listener is
     * notified after that.
     */
    void close(String reason);
}
