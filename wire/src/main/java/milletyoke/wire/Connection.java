package milletyoke.wire;

import milletyoke.wire.proto.Frame;

/** A connection as its user sees it: a socket in service, a model of one in the simulation. */
public interface Connection {
    /** Unique in this process. */
    int id();

    /** Whether frames can still be sent. */
    boolean isOpen();

    /**
     * Hands a frame over without waiting. Any thread may call this.
     *
     * @return false where the connection is known to be closed and nothing of the frame was sent;
     *     true is no promise that the frame arrives
     */
    boolean send(Frame frame);

    /**
     * Like {@link #send}, but the frame may stay here until {@link #flush}, so that the frames of
     * one pass of a loop leave in one write. Only the thread that also flushes may call this;
     * frames that other threads send meanwhile may leave earlier.
     */
    default boolean enqueue(Frame frame) {
        return send(frame);
    }

    /** Writes what was enqueued. */
    default void flush() {}

    /** Sends the reason to the peer and closes; frames not yet written may be lost. */
    void closeWithReason(String reason);

    /** Closes at once; the listener is called, once. */
    void close(String reason);
}
