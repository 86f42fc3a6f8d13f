package milletyoke.standins;

import java.util.ArrayList;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import milletyoke.wire.FrameLimits;
import milletyoke.wire.MalformedFrameException;
import milletyoke.wire.Network;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.Role;

/**
 * The clients' connection to one initiator or target, reopened whenever it is lost. Frames arrive
 * on the network's threads; any thread may send.
 */
final class ServerLink implements PeerListener {
    /** Receives the results of attempts sent on a link, on the network's threads. */
    interface AttemptListener {
        void onResponse(ClientAttempt attempt, Response response);

        void onAttemptReply(ClientAttempt attempt, Outcome outcome);

        /** Called if the connection was closed before the attempt was answered. */
        void onConnectionLost(ClientAttempt attempt);
    }

    private static final FrameLimits FRAME_LIMITS =
            new FrameLimits(4 << 20, 64 << 20, 5_000_000, 0);
    private static final long RECONNECT_DELAY_MICROS = 50_000;

    private final Network network;
    private final DelayedTasks tasks;
    private final Role role;
    private final AttemptListener listener;
    private final BooleanSupplier isStopped;
    private final String host;
    private volatile int port;
    private final Map<Long, ClientAttempt> pending = new ConcurrentHashMap<>();
    private volatile PeerConnection connection;
    private volatile PeerConnection drainingConnection;

    /**
     * @param role the role sent in the handshake
     * @param isStopped whether to stop reopening the connection
     */
    ServerLink(
            Network network,
            DelayedTasks tasks,
            Role role,
            AttemptListener listener,
            BooleanSupplier isStopped,
            String host,
            int port) {
        this.network = network;
        this.tasks = tasks;
        this.role = role;
        this.listener = listener;
        this.isStopped = isStopped;
        this.host = host;
        this.port = port;
    }

    void connect() {
        if (isStopped.getAsBoolean()) {
            return;
        }
        network.connect(host, port, role, this, FRAME_LIMITS, reason -> scheduleReconnect());
    }

    private void scheduleReconnect() {
        tasks.schedule(this::connect, RECONNECT_DELAY_MICROS);
    }

    boolean isConnected() {
        return connection != null;
    }

    /** Changes the server's port, used from the next connection on. */
    void moveTo(int newPort) {
        port = newPort;
    }

    /** Closes the connection, which is then reopened. */
    void reconnect() {
        PeerConnection current = connection;
        if (current != null) {
            current.close("clients reconnect");
        }
    }

    /**
     * Adds an attempt to the pending ones of the open connection. A connection that the server is
     * about to close takes no new attempts.
     *
     * @return the connection to send the attempt on, or null if none is open
     */
    synchronized PeerConnection register(ClientAttempt attempt) {
        attempt.connection = connection;
        if (connection != null) {
            pending.put(attempt.number, attempt);
        }
        return connection;
    }

    /** Returns whether the attempt was still pending. */
    boolean remove(ClientAttempt attempt) {
        return pending.remove(attempt.number) != null;
    }

    /** Closes a connection that the server is draining once no attempt is pending on it. */
    void closeIfDrained(PeerConnection drained) {
        if (Objects.equals(drainingConnection, drained)
                && pending.values().stream()
                        .noneMatch(attempt -> Objects.equals(attempt.connection, drained))) {
            drained.close("drained: no attempts pending");
        }
    }

    @Override
    public void onReady(PeerConnection opened) {
        connection = opened;
    }

    @Override
    public void onFrame(PeerConnection from, Frame frame) throws MalformedFrameException {
        switch (frame.getBodyCase()) {
            case RESPONSE -> {
                ClientAttempt attempt = pending.remove(frame.getResponse().getNumber());
                if (attempt != null) {
                    listener.onResponse(attempt, frame.getResponse());
                }
                closeIfDrained(from);
            }
            case ATTEMPT_REPLY -> {
                ClientAttempt attempt = pending.remove(frame.getAttemptReply().getNumber());
                if (attempt != null) {
                    listener.onAttemptReply(attempt, frame.getAttemptReply().getOutcome());
                }
            }
            default ->
                    throw new MalformedFrameException(
                            "a client gets answers, not " + frame.getBodyCase());
        }
    }

    @Override
    public void onGoingAway(PeerConnection from, String reason) {
        synchronized (this) {
            drainingConnection = from;
            if (Objects.equals(connection, from)) {
                connection = null;
            }
        }
        closeIfDrained(from);
    }

    @Override
    public void onClosed(PeerConnection closed, String reason) {
        if (Objects.equals(connection, closed)) {
            connection = null;
        }
        for (ClientAttempt attempt : new ArrayList<>(pending.values())) {
            if (Objects.equals(attempt.connection, closed) && remove(attempt)) {
                listener.onConnectionLost(attempt);
            }
        }
        scheduleReconnect();
    }
}
