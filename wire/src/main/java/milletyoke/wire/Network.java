package milletyoke.wire;

import java.io.IOException;
import java.util.function.Consumer;
import milletyoke.wire.proto.Role;

/**
 * Manages one participant's listening addresses and connections: sockets in production, modelled
 * connections in the simulation.
 */
public interface Network extends AutoCloseable {
    /** A bound address that accepts connections. */
    interface Listener {
        /** Returns the port of the bound address. */
        int port();

        /** Stops accepting connections; established ones stay open. */
        void stop();
    }

    /** A connection that is being established. */
    interface ConnectAttempt {
        /** Cancels the attempt; if the connection was established meanwhile, closes it. */
        void cancel();
    }

    /**
     * Binds an address and accepts connections.
     *
     * @param port the port, or 0 for any free port
     * @param role the role of this end, sent in its hellos
     * @throws IOException if the address cannot be bound; the message contains the address
     */
    Listener listen(String host, int port, Role role, PeerListener listener, FrameLimits limits)
            throws IOException;

    /**
     * Opens a connection without waiting for it. {@link PeerListener#onReady} reports success.
     *
     * @param onFailure receives the reason if the connection cannot be established
     */
    ConnectAttempt connect(
            String host,
            int port,
            Role role,
            PeerListener listener,
            FrameLimits limits,
            Consumer<String> onFailure);

    /** Resets all connections, as if the process were killed; no listener of this end is called. */
    void abort();

    /** Sends a close frame to every peer, then closes all connections. */
    @Override
    void close();
}
