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
    private final SimulatedEnvironment world;
    final String name;
    private final FrameObserver tap;
    private final Set<SimulatedPeerConnection> peers = new LinkedHashSet<>();
    private final List<Bound> bound = new ArrayList<>();
    private boolean gone;

    SimulatedNetwork(SimulatedEnvironment world, String name, FrameObserver tap) {
        this.world = world;
        this.name = name;
        this.tap = tap;
    }

    /** A bound port and who answers there. */
    record Bound(
            SimulatedNetwork net, int port, Role role, PeerListener handler, FrameLimits bounds)
            implements Listener {
        @Override
        public void stop() {
            net.world.unbind(port, this);
        }
    }

    @Override
    public Listener listen(
            String host, int port, Role role, PeerListener handler, FrameLimits bounds)
            throws IOException {
        int at = port == 0 ? world.freePort() : port;
        Bound listener = new Bound(this, at, role, handler, bounds);
        if (!world.bind(at, listener)) {
            throw new IOException(
                    "cannot listen at " + host + ":" + at + ": Address already in use");
        }
        bound.add(listener);
        return listener;
    }

    /** A connection in the making. */
    private static final class Making implements ConnectAttempt {
        boolean givenUp;

        @Override
        public void cancel() {
            givenUp = true;
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
        Making making = new Making();
        world.at(
                world.monotonicMicros() + world.travel(),
                () -> arrive(making, port, role, handler, bounds, failed));
        return making;
    }

    private void arrive(
            Making making,
            int port,
            Role role,
            PeerListener handler,
            FrameLimits bounds,
            Consumer<String> failed) {
        Bound there = world.listener(port);
        long back = world.monotonicMicros() + world.travel();
        if (there == null) {
            world.at(
                    back,
                    () -> {
                        if (!gone && !making.givenUp) {
                            failed.accept("Connection refused");
                        }
                    });
            return;
        }
        long open =
                Math.max(
                        world.heldUntil(name, there.net().name, false),
                        world.heldUntil(there.net().name, name, false));
        if (open
                > world.monotonicMicros()) { // the first packet is sent again until it gets through
            world.at(open, () -> arrive(making, port, role, handler, bounds, failed));
            return;
        }
        if (gone || making.givenUp) {
            return;
        }
        SimulatedPeerConnection near = new SimulatedPeerConnection(this, handler, bounds, tap);
        SimulatedPeerConnection far =
                new SimulatedPeerConnection(
                        there.net(), there.handler(), there.bounds(), there.net().tap);
        near.join(far);
        far.join(near);
        there.net().opened(far, there.role());
        world.at(
                back,
                () -> {
                    if (gone || making.givenUp) {
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
        gone = true;
        bound.forEach(Bound::stop);
        new ArrayList<>(peers).forEach(PeerConnection::reset);
        peers.clear();
    }

    @Override
    public void close() {
        bound.forEach(Bound::stop);
        new ArrayList<>(peers).forEach(p -> p.closeWithReason("shutting down"));
        peers.clear();
        gone = true;
    }

    /** One end of a connection. */
    static final class SimulatedPeerConnection extends PeerConnection {
        private final SimulatedNetwork net;
        private final SimulatedEnvironment world;
        private final FrameObserver tap;
        private SimulatedPeerConnection other;
        private boolean connected = true;
        private boolean isOpened;
        private long lastArrival;

        /** What arrived before this end knew that the connection was open. */
        private final List<Runnable> early = new ArrayList<>();

        SimulatedPeerConnection(
                SimulatedNetwork net, PeerListener handler, FrameLimits bounds, FrameObserver tap) {
            super(net.world.peerNumber(), handler, bounds, tap, net.world::monotonicMicros);
            this.net = net;
            this.tap = tap;
            world = net.world;
        }

        void join(SimulatedPeerConnection end) {
            other = end;
        }

        void open(Role role, String ownName) {
            isOpened = true;
            tap.onFrame(this, Direction.OPENED, null);
            sendHello(role, ownName);
            early.forEach(Runnable::run);
            early.clear();
        }

        @Override
        protected boolean isConnected() {
            return connected;
        }

        @Override
        protected void write(List<Frame> frames, int size) {
            boolean work = frames.stream().anyMatch(f -> f.hasAttempt() || f.hasAttemptReply());
            long leaves = world.heldUntil(net.name, other.net.name, work);
            lastArrival = Math.max(lastArrival, leaves + world.travel());
            world.at(
                    lastArrival,
                    () -> {
                        onWritten(size);
                        other.arrives(() -> frames.forEach(other::deliver));
                    });
        }

        private void arrives(Runnable what) {
            if (isOpened) {
                what.run();
            } else {
                early.add(what);
            }
        }

        private void deliver(Frame frame) {
            if (connected) {
                world.digest(
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
                net.peers.remove(this);
                lastArrival =
                        Math.max(
                                lastArrival,
                                world.heldUntil(net.name, other.net.name, false) + world.travel());
                world.at(
                        lastArrival,
                        () -> other.arrives(() -> other.close("the connection closed (remotely)")));
            }
        }
    }
}
