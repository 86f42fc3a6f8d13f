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
 * One participant's connections in virtual time. A connection comes about after one round trip,
 * keeps the order of what is sent each way, loses nothing until it ends, and its end arrives behind
 * what was sent before (RFC 9293).
 */
final class SimulatedNetwork implements Network {
    private final SimulatedEnvironment environment;
    final String name;
    private final FrameObserver observer;
    private final Set<SimulatedPeerConnection> peers = new LinkedHashSet<>();
    private final List<BoundListener> listeners = new ArrayList<>();
    private boolean isClosed;

    SimulatedNetwork(SimulatedEnvironment world, String name, FrameObserver tap) {
        this.environment = world;
        this.name = name;
        this.observer = tap;
    }

    /** A bound port and who answers there. */
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
            String host, int port, Role role, PeerListener handler, FrameLimits bounds)
            throws IOException {
        int at = port == 0 ? environment.freePort() : port;
        BoundListener listener = new BoundListener(this, at, role, handler, bounds);
        if (!environment.bind(at, listener)) {
            throw new IOException(
                    "cannot listen at " + host + ":" + at + ": Address already in use");
        }
        listeners.add(listener);
        return listener;
    }

    /** A connection in the making. */
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
            FrameLimits bounds,
            Consumer<String> failed) {
        PendingConnection making = new PendingConnection();
        environment.schedule(
                environment.monotonicMicros() + environment.drawLatencyMicros(),
                () -> accept(making, port, role, handler, bounds, failed));
        return making;
    }

    private void accept(
            PendingConnection making,
            int port,
            Role role,
            PeerListener handler,
            FrameLimits bounds,
            Consumer<String> failed) {
        BoundListener there = environment.listener(port);
        long back = environment.monotonicMicros() + environment.drawLatencyMicros();
        if (there == null) {
            environment.schedule(
                    back,
                    () -> {
                        if (!isClosed && !making.isCancelled) {
                            failed.accept("Connection refused");
                        }
                    });
            return;
        }
        long open =
                Math.max(
                        environment.blockedUntil(name, there.network().name, false),
                        environment.blockedUntil(there.network().name, name, false));
        if (open > environment.monotonicMicros()) { // the first packet is sent again until it gets
            // through
            environment.schedule(open, () -> accept(making, port, role, handler, bounds, failed));
            return;
        }
        if (isClosed || making.isCancelled) {
            return;
        }
        SimulatedPeerConnection near = new SimulatedPeerConnection(this, handler, bounds, observer);
        SimulatedPeerConnection far =
                new SimulatedPeerConnection(
                        there.network(),
                        there.handler(),
                        there.frameLimits(),
                        there.network().observer);
        near.connectTo(far);
        far.connectTo(near);
        there.network().opened(far, there.role());
        environment.schedule(
                back,
                () -> {
                    if (isClosed || making.isCancelled) {
                        near.reset();
                    } else {
                        opened(near, role);
                    }
                });
    }

    private void opened(SimulatedPeerConnection peer, Role role) {
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
        new ArrayList<>(peers).forEach(p -> p.closeWithReason("shutting down"));
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

        /** What arrived before this end knew that the connection was open. */
        private final List<Runnable> receivedBeforeOpen = new ArrayList<>();

        SimulatedPeerConnection(
                SimulatedNetwork net, PeerListener handler, FrameLimits bounds, FrameObserver tap) {
            super(
                    net.environment.nextPeerNumber(),
                    handler,
                    bounds,
                    tap,
                    net.environment::monotonicMicros);
            this.network = net;
            this.observer = tap;
            environment = net.environment;
        }

        void connectTo(SimulatedPeerConnection end) {
            remoteEnd = end;
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
            boolean work = frames.stream().anyMatch(f -> f.hasAttempt() || f.hasAttemptReply());
            long leaves = environment.blockedUntil(network.name, remoteEnd.network.name, work);
            lastArrival = Math.max(lastArrival, leaves + environment.drawLatencyMicros());
            environment.schedule(
                    lastArrival,
                    () -> {
                        onWritten(size);
                        remoteEnd.receive(() -> frames.forEach(remoteEnd::deliver));
                    });
        }

        private void receive(Runnable what) {
            if (isOpened) {
                what.run();
            } else {
                receivedBeforeOpen.add(what);
            }
        }

        private void deliver(Frame frame) {
            if (connected) {
                environment.digest(
                        ((long) id() << 40)
                                + ((long) frame.getBodyCase().getNumber() << 32)
                                + frame.getSerializedSize());
                handleFrame(frame);
            }
        }

        @Override
        protected void disconnect() {
            end();
        }

        @Override
        protected void disconnectWithReset() {
            end();
        }

        /** The end travels behind what was sent before it. */
        private void end() {
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
                                remoteEnd.receive(
                                        () -> remoteEnd.close("the connection closed (remotely)")));
            }
        }
    }
}
