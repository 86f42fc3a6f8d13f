package milletyoke.simulation.environment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import milletyoke.wire.FrameLimits;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.Network;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Role;

/**
 * One participant's connections in virtual time. A connection is established after one round trip.
 * As with TCP (RFC 9293), frames arrive in order and are not lost while it is open, and its close
 * arrives after the frames sent before it.
 */
final class SimulatedNetwork implements Network {
    private final SimulatedEnvironment environment;
    final String name;
    private final FrameObserver observer;
    private final Set<SimulatedPeerConnection> peers = new LinkedHashSet<>();
    private final List<BoundListener> listeners = new ArrayList<>();
    private boolean isClosed;

    SimulatedNetwork(SimulatedEnvironment environment, String name, FrameObserver observer) {
        this.environment = environment;
        this.name = name;
        this.observer = observer;
    }

    /** A bound port and the handler of its connections. */
    record BoundListener(
            SimulatedNetwork network,
            int port,
            Role role,
            PeerListener handler,
            FrameLimits frameLimits)
            implements Listener {
        @Override
        public void stop() {
            network.environment.unbind(port, this);
        }
    }

    @Override
    public Listener listen(
            String host, int port, Role role, PeerListener handler, FrameLimits frameLimits)
            throws IOException {
        int boundPort = port == 0 ? environment.freePort() : port;
        BoundListener listener = new BoundListener(this, boundPort, role, handler, frameLimits);
        if (!environment.bind(boundPort, listener)) {
            throw new IOException(
                    "cannot listen at " + host + ":" + boundPort + ": Address already in use");
        }
        listeners.add(listener);
        return listener;
    }

    /** A connection that is being established. */
    private static final class PendingConnection implements ConnectAttempt {
        boolean isCancelled;

        @Override
        public void cancel() {
            isCancelled = true;
        }
    }

    @Override
    public ConnectAttempt connect(
            String host,
            int port,
            Role role,
            PeerListener handler,
            FrameLimits frameLimits,
            Consumer<String> onFailure) {
        PendingConnection pending = new PendingConnection();
        environment.schedule(
                environment.monotonicMicros() + environment.drawLatencyMicros(),
                () -> accept(pending, port, role, handler, frameLimits, onFailure));
        return pending;
    }

    private void accept(
            PendingConnection pending,
            int port,
            Role role,
            PeerListener handler,
            FrameLimits frameLimits,
            Consumer<String> onFailure) {
        BoundListener listener = environment.listener(port);
        long replyArrives = environment.monotonicMicros() + environment.drawLatencyMicros();
        if (listener == null) {
            environment.schedule(
                    replyArrives,
                    () -> {
                        if (!isClosed && !pending.isCancelled) {
                            onFailure.accept("Connection refused");
                        }
                    });
            return;
        }
        long reachableAt =
                Math.max(
                        environment.blockedUntil(name, listener.network().name, false),
                        environment.blockedUntil(listener.network().name, name, false));
        if (reachableAt > environment.monotonicMicros()) { // a partition delays the handshake
            environment.schedule(
                    reachableAt,
                    () -> accept(pending, port, role, handler, frameLimits, onFailure));
            return;
        }
        if (isClosed || pending.isCancelled) {
            return;
        }
        SimulatedPeerConnection near =
                new SimulatedPeerConnection(this, handler, frameLimits, observer);
        SimulatedPeerConnection far =
                new SimulatedPeerConnection(
                        listener.network(),
                        listener.handler(),
                        listener.frameLimits(),
                        listener.network().observer);
        near.connectTo(far);
        far.connectTo(near);
        listener.network().openConnection(far, listener.role());
        environment.schedule(
                replyArrives,
                () -> {
                    if (isClosed || pending.isCancelled) {
                        near.reset();
                    } else {
                        openConnection(near, role);
                    }
                });
    }

    private void openConnection(SimulatedPeerConnection peer, Role role) {
        peers.add(peer);
        peer.open(role, name);
    }

    @Override
    public void abort() {
        isClosed = true;
        listeners.forEach(BoundListener::stop);
        new ArrayList<>(peers).forEach(PeerConnection::reset);
        peers.clear();
    }

    @Override
    public void close() {
        listeners.forEach(BoundListener::stop);
        new ArrayList<>(peers).forEach(peer -> peer.closeWithReason("shutting down"));
        peers.clear();
        isClosed = true;
    }

    /** One end of a connection. */
    static final class SimulatedPeerConnection extends PeerConnection {
        private final SimulatedNetwork network;
        private final SimulatedEnvironment environment;
        private final FrameObserver observer;
        private SimulatedPeerConnection remoteEnd;
        private boolean connected = true;
        private boolean isOpened;
        private long lastArrival;

        /** Deliveries that arrived before this end was opened. */
        private final List<Runnable> receivedBeforeOpen = new ArrayList<>();

        SimulatedPeerConnection(
                SimulatedNetwork network,
                PeerListener handler,
                FrameLimits frameLimits,
                FrameObserver observer) {
            super(
                    network.environment.nextPeerNumber(),
                    handler,
                    frameLimits,
                    observer,
                    network.environment::monotonicMicros);
            this.network = network;
            this.observer = observer;
            environment = network.environment;
        }

        void connectTo(SimulatedPeerConnection other) {
            remoteEnd = other;
        }

        void open(Role role, String ownName) {
            isOpened = true;
            observer.onFrame(this, Direction.OPENED, null);
            sendHello(role, ownName);
            receivedBeforeOpen.forEach(Runnable::run);
            receivedBeforeOpen.clear();
        }

        @Override
        protected boolean isConnected() {
            return connected;
        }

        @Override
        protected void write(List<Frame> frames, int size) {
            boolean hasAttempts =
                    frames.stream()
                            .anyMatch(frame -> frame.hasAttempt() || frame.hasAttemptReply());
            long departure =
                    environment.blockedUntil(network.name, remoteEnd.network.name, hasAttempts);
            lastArrival = Math.max(lastArrival, departure + environment.drawLatencyMicros());
            environment.schedule(
                    lastArrival,
                    () -> {
                        onWritten(size);
                        remoteEnd.receiveWhenOpen(() -> frames.forEach(remoteEnd::deliver));
                    });
        }

        private void receiveWhenOpen(Runnable delivery) {
            if (isOpened) {
                delivery.run();
            } else {
                receivedBeforeOpen.add(delivery);
            }
        }

        private void deliver(Frame frame) {
            if (connected) {
                environment.updateDigest(
                        ((long) id() << 40)
                                + ((long) frame.getBodyCase().getNumber() << 32)
                                + frame.getSerializedSize());
                handleFrame(frame);
            }
        }

        /** Does nothing: {@link #disconnect} follows at the same moment of virtual time. */
        @Override
        protected void endOutput() {}

        @Override
        protected void disconnect() {
            closeBothEnds();
        }

        @Override
        protected void disconnectWithReset() {
            closeBothEnds();
        }

        /**
         * Closes this end; the remote end is closed after it has received all frames sent before.
         */
        private void closeBothEnds() {
            if (connected) {
                connected = false;
                network.peers.remove(this);
                lastArrival =
                        Math.max(
                                lastArrival,
                                environment.blockedUntil(
                                                network.name, remoteEnd.network.name, false)
                                        + environment.drawLatencyMicros());
                environment.schedule(
                        lastArrival,
                        () ->
                                remoteEnd.receiveWhenOpen(
                                        () -> remoteEnd.close("the connection closed (remotely)")));
            }
        }
    }
}
