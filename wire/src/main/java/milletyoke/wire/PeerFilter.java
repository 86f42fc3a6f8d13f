package milletyoke.wire;

import java.io.IOException;
import java.util.Locale;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Role;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The last filter of the chain: creates the {@link PeerConnection} of each connection and passes
 * received frames to it. Runs on I/O threads.
 */
final class PeerFilter extends BaseFilter {
    private static final Attribute<PeerConnection> PEER =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("milletyoke.peer");

    private final SocketNetwork network;
    private final PeerListener listener;
    private final FrameLimits limits;
    private final FrameObserver observer;
    private final Role role;
    private final String name;

    PeerFilter(
            SocketNetwork network,
            Role role,
            String name,
            PeerListener listener,
            FrameLimits limits,
            FrameObserver observer) {
        this.network = network;
        this.role = role;
        this.name = name;
        this.listener = listener;
        this.limits = limits;
        this.observer = observer;
    }

    static PeerConnection peerOf(Connection<?> connection) {
        return PEER.get(connection);
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        if (network.isFull()) {
            context.getConnection().closeSilently();
            return context.getStopAction();
        }
        onOpened(context.getConnection());
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleConnect(FilterChainContext context) {
        onOpened(context.getConnection());
        return context.getInvokeAction();
    }

    private void onOpened(Connection<?> connection) {
        PeerConnection peer = new SocketPeerConnection(connection, listener, limits, observer);
        PEER.set(connection, peer);
        network.add(peer);
        observer.onFrame(peer, Direction.OPENED, null);
        CloseListener<Connection<?>, CloseType> onClosed =
                (closeable, type) -> {
                    network.remove(peer);
                    peer.close(
                            "the connection closed ("
                                    + String.valueOf(type).toLowerCase(Locale.ROOT)
                                    + ")");
                };
        connection.addCloseListener(onClosed);
        peer.sendHello(role, name);
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        Frame frame = context.getMessage();
        peerOf(context.getConnection()).handleFrame(frame);
        return context.getStopAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext context, Throwable cause) {
        PeerConnection peer = peerOf(context.getConnection());
        if (peer != null) {
            peer.close("read failed: " + cause);
        }
    }
}
