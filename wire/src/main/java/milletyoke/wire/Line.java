package milletyoke.wire;

import milletyoke.wire.proto.Frame;

/** A connection as its user sees it: sockets in service, something else under a virtual clock. */
public interface Line {
    /** Unique in this process. */
    int id();

    boolean isOpen();

    /**
     * Hands a frame over without waiting. False where the connection is known to be closed, and then nothing of the
     * frame was sent; true promises nothing.
     */
    boolean send(Frame frame);

    /** Tells the peer why and closes; what waits to be sent may be lost. */
    void bye(String why);

    /** Closes at once; the handler is told, once. */
    void close(String why);
}
