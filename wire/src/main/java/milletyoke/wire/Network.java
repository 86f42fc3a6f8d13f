package milletyoke.wire;

import java.io.IOException;
import java.util.function.Consumer;
import milletyoke.wire.proto.Role;

/**
 * One participant's listening addresses and connections: sockets in service, a model of them in the
 * simulation.
 */
public interface Network extends AutoCloseable {
    /** A bound address. */
    interface Listener {
        /** The port that is listened on. */
        int port();

        /** Accepts no further connections; established ones stay open. */
        void stop();
    }

    /** A connection that is being established. */
    interface ConnectAttempt {
        /** Gives the attempt up; a connection that was just established is closed. */
        void cancel();
    }

    /**
     * Listens at an address.
     *
     * @param port 0 for any free port
     * @param role this end's role in its hellos
     * @throws IOException where the address cannot be bound, with a message that names it
     */
    Listener listen(String host, int port, Role role, PeerListener listener, FrameLimits limits)
            throws IOException;

    /**
     * Connects without waiting. {@link PeerListener#onReady} reports success.
     *
     * @param onFailure is given the reason where the connection cannot be established
     */
    ConnectAttempt connect(
            String host,
            int port,
            Role role,
            PeerListener listener,
            FrameLimits limits,
            Consumer<String> onFailure);

    /** Resets every connection, as a kill of the process would; no listener here is called. */
    void abort();

    /** Sends every peer a close frame and closes. */
    @Override
    void close();
}
