package milletyoke.wire;

import java.io.IOException;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Role;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** The last filter: gives each connection its {@link PeerConnection} and hands frames to it. */
final class PeerFilter extends BaseFilter {
    private static final Attribute<PeerConnection> PEER =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("milletyoke.peer");

    private final SocketNetwork wire;
    private final PeerListener handler;
    private final FrameLimits bounds;
    private final FrameObserver tap;
    private final Role role;
    private final String name;

    PeerFilter(
            SocketNetwork wire,
            Role role,
            String name,
            PeerListener handler,
            FrameLimits bounds,
            FrameObserver tap) {
        this.wire = wire;
        this.role = role;
        this.name = name;
        this.handler = handler;
        this.bounds = bounds;
        this.tap = tap;
    }

    static PeerConnection peerOf(Connection<?> connection) {
        return PEER.get(connection);
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        if (wire.isFull()) {
            ctx.getConnection().closeSilently();
            return ctx.getStopAction();
        }
        opened(ctx.getConnection());
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleConnect(FilterChainContext ctx) {
        opened(ctx.getConnection());
        return ctx.getInvokeAction();
    }

    private void opened(Connection<?> connection) {
        PeerConnection peer = new SocketPeerConnection(connection, handler, bounds, tap);
        PEER.set(connection, peer);
        wire.add(peer);
        tap.onFrame(peer, Direction.OPENED, null);
        connection.addCloseListener(
                (closeable, type) -> {
                    wire.remove(peer);
                    peer.close(
                            "the connection closed (" + String.valueOf(type).toLowerCase() + ")");
                });
        peer.sendHello(role, name);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        Frame frame = ctx.getMessage();
        peerOf(ctx.getConnection()).handleFrame(frame);
        return ctx.getStopAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
        PeerConnection peer = peerOf(ctx.getConnection());
        if (peer != null) {
            peer.close("reading failed: " + error);
        }
    }
}
