package milletyoke.wire;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import milletyoke.wire.proto.Frame;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Bytes on one side, whole frames on the other. A length over the bound closes the connection
 * before any is kept.
 */
final class FrameFilter extends BaseFilter {
    private static final int LENGTH_PREFIX_BYTES = 4;

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        Buffer bytes = ctx.getMessage();
        PeerConnection peer = PeerFilter.peerOf(ctx.getConnection());
        if (peer == null) {
            bytes.tryDispose(); // it was turned away as it came
            return ctx.getStopAction();
        }
        if (bytes.remaining() < LENGTH_PREFIX_BYTES) {
            peer.onPartialFrame();
            return ctx.getStopAction(bytes);
        }
        int length = bytes.getInt(bytes.position());
        if (length < 0 || length > peer.maxFrameBytes()) {
            peer.closeForViolation(
                    "a frame of "
                            + Integer.toUnsignedString(length)
                            + " bytes is announced, "
                            + peer.maxFrameBytes()
                            + " are the most");
            bytes.tryDispose();
            return ctx.getStopAction();
        }
        if (bytes.remaining() < LENGTH_PREFIX_BYTES + length) {
            peer.onPartialFrame();
            return ctx.getStopAction(bytes);
        }
        bytes.position(bytes.position() + LENGTH_PREFIX_BYTES);
        byte[] body = new byte[length];
        bytes.get(body);
        Buffer rest = bytes.hasRemaining() ? bytes.slice() : null;
        if (rest == null) {
            bytes.tryDispose();
        }
        try {
            // payloads stay where they are: the fields of bytes are views of this array, which
            // nobody writes any more
            CodedInputStream input = UnsafeByteOperations.unsafeWrap(body).newCodedInput();
            input.enableAliasing(true);
            ctx.setMessage(Frame.parseFrom(input));
        } catch (InvalidProtocolBufferException bad) {
            peer.closeForViolation("a frame that cannot be read: " + bad.getMessage());
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction(rest);
    }

    /** Frames that leave together, in this order. */
    record FrameBatch(List<Frame> frames) {}

    @Override
    public NextAction handleWrite(FilterChainContext ctx) throws IOException {
        if (ctx.getMessage() instanceof FrameBatch frames) {
            ctx.setMessage(Buffers.wrap(ctx.getMemoryManager(), encode(frames.frames())));
        }
        return ctx.getInvokeAction();
    }

    /** One array for all, each frame written into it once. */
    private static ByteBuffer encode(List<Frame> frames) throws IOException {
        int size = 0;
        for (Frame frame : frames) {
            size += LENGTH_PREFIX_BYTES + frame.getSerializedSize();
        }
        ByteBuffer all = ByteBuffer.allocate(size);
        for (Frame frame : frames) {
            int length = frame.getSerializedSize();
            all.putInt(length);
            CodedOutputStream output =
                    CodedOutputStream.newInstance(all.array(), all.position(), length);
            frame.writeTo(output);
            output.checkNoSpaceLeft();
            all.position(all.position() + length);
        }
        return all.flip();
    }
}
