package milletyoke.wire;

import java.io.IOException;
import java.util.function.Consumer;
import milletyoke.wire.proto.Role;

/** One participant's listeners and connections: sockets in service, a model of them in the lab. */
public interface Network extends AutoCloseable {
    /** A bound address. */
    interface Listener {
        int port();

        /** Takes no further connections; those there are go on. */
        void stop();
    }

    /** A connection in the making, which can be given up. */
    interface ConnectAttempt {
        void cancel();
    }

    /**
     * Listens at an address; port 0 takes a free one.
     *
     * @throws IOException where the address cannot be had, with a message that names it
     */
    Listener listen(String host, int port, Role role, PeerListener handler, FrameLimits bounds)
            throws IOException;

    /**
     * Connects without waiting; the handler's ready tells of success, {@code failed} of the reason
     * why not.
     */
    ConnectAttempt connect(
            String host,
            int port,
            Role role,
            PeerListener handler,
            FrameLimits bounds,
            Consumer<String> failed);

    /** Drops every connection as a kill would: resets, nothing told to any handler here. */
    void abort();

    /** Says goodbye to every peer and closes. */
    @Override
    void close();
}
