package milletyoke.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import milletyoke.wire.proto.Frame;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/** Bytes on one side, whole frames on the other. A length over the bound closes the connection before any is kept. */
final class FrameFilter extends BaseFilter {
    private static final int PREFIX = 4;

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        Buffer bytes = ctx.getMessage();
        Peer peer = PeerFilter.peerOf(ctx.getConnection());
        if (peer == null) {
            bytes.tryDispose(); // it was turned away as it came
            return ctx.getStopAction();
        }
        if (bytes.remaining() < PREFIX) {
            peer.partial();
            return ctx.getStopAction(bytes);
        }
        int length = bytes.getInt(bytes.position());
        if (length < 0 || length > peer.frameBytes()) {
            peer.blame("a frame of " + Integer.toUnsignedString(length) + " bytes is announced, " + peer.frameBytes()
                    + " are the most");
            bytes.tryDispose();
            return ctx.getStopAction();
        }
        if (bytes.remaining() < PREFIX + length) {
            peer.partial();
            return ctx.getStopAction(bytes);
        }
        bytes.position(bytes.position() + PREFIX);
        byte[] body = new byte[length];
        bytes.get(body);
        Buffer rest = bytes.hasRemaining() ? bytes.slice() : null;
        if (rest == null) {
            bytes.tryDispose();
        }
        try {
            ctx.setMessage(Frame.parseFrom(body));
        } catch (InvalidProtocolBufferException bad) {
            peer.blame("a frame that cannot be read: " + bad.getMessage());
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction(rest);
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) {
        if (ctx.getMessage() instanceof Frame frame) {
            byte[] body = frame.toByteArray();
            ByteBuffer all = ByteBuffer.allocate(PREFIX + body.length).putInt(body.length).put(body).flip();
            ctx.setMessage(Buffers.wrap(ctx.getMemoryManager(), all));
        }
        return ctx.getInvokeAction();
    }
}
