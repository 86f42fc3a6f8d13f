package milletyoke.wire;

import milletyoke.wire.proto.Frame;

/** A connection as its user sees it: sockets in service, something else under a virtual clock. */
public interface Connection {
    /** Unique in this process. */
    int id();

    boolean isOpen();

    /**
     * Hands a frame over without waiting. False where the connection is known to be closed, and
     * then nothing of the frame was sent; true promises nothing.
     */
    boolean send(Frame frame);

    /**
     * As {@link #send}, but the frame may stay here until {@link #flush}, so that frames of one
     * turn leave in one write. Only the one thread that also flushes may post; what others send
     * meanwhile may leave before.
     */
    default boolean enqueue(Frame frame) {
        return send(frame);
    }

    /** Lets go of what was posted. */
    default void flush() {}

    /** Tells the peer why and closes; what waits to be sent may be lost. */
    void closeWithReason(String why);

    /** Closes at once; the handler is told, once. */
    void close(String why);
}
