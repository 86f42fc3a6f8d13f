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
 * Decodes bytes to frames and encodes frames to bytes. Closes the connection if a length prefix
 * exceeds the limit, before any byte of that frame is buffered. Runs on I/O threads.
 */
final class FrameFilter extends BaseFilter {
    private static final int LENGTH_PREFIX_BYTES = 4;

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        Buffer bytes = context.getMessage();
        PeerConnection peer = PeerFilter.peerOf(context.getConnection());
        if (peer == null) {
            bytes.tryDispose(); // the connection was refused on accept
            return context.getStopAction();
        }
        if (bytes.remaining() < LENGTH_PREFIX_BYTES) {
            peer.onPartialFrame();
            return context.getStopAction(bytes);
        }
        int length = bytes.getInt(bytes.position());
        if (length < 0 || length > peer.maxFrameBytes()) {
            peer.closeForViolation(tooLong(length, peer.maxFrameBytes()));
            bytes.tryDispose();
            return context.getStopAction();
        }
        if (bytes.remaining() < LENGTH_PREFIX_BYTES + length) {
            peer.onPartialFrame();
            return context.getStopAction(bytes);
        }
        bytes.position(bytes.position() + LENGTH_PREFIX_BYTES);
        byte[] body = new byte[length];
        bytes.get(body);
        Buffer remainder = bytes.hasRemaining() ? bytes.slice() : null;
        if (remainder == null) {
            bytes.tryDispose();
        }
        try {
            context.setMessage(decode(body));
        } catch (InvalidProtocolBufferException malformed) {
            peer.closeForViolation("a frame that cannot be read: " + malformed.getMessage());
            return context.getStopAction();
        }
        return context.getInvokeAction(remainder);
    }

    private static String tooLong(int length, int maxFrameBytes) {
        return "a frame of "
                + Integer.toUnsignedString(length)
                + " bytes is announced, "
                + maxFrameBytes
                + " are the most";
    }

    /**
     * Decodes a frame without copying payloads: byte fields are views of the array, which is not
     * modified afterwards.
     */
    private static Frame decode(byte[] body) throws IOException {
        CodedInputStream input = UnsafeByteOperations.unsafeWrap(body).newCodedInput();
        input.enableAliasing(true);
        return Frame.parseFrom(input);
    }

    /** Frames that are written together, in the given order. */
    record FrameBatch(List<Frame> frames) {}

    @Override
    public NextAction handleWrite(FilterChainContext context) throws IOException {
        if (context.getMessage() instanceof FrameBatch batch) {
            context.setMessage(Buffers.wrap(context.getMemoryManager(), encode(batch.frames())));
        }
        return context.getInvokeAction();
    }

    /** Encodes all frames into one array, so that they are sent in one write. */
    private static ByteBuffer encode(List<Frame> frames) throws IOException {
        int size = 0;
        for (Frame frame : frames) {
            size += LENGTH_PREFIX_BYTES + frame.getSerializedSize();
        }
        ByteBuffer encoded = ByteBuffer.allocate(size);
        for (Frame frame : frames) {
            int length = frame.getSerializedSize();
            encoded.putInt(length);
            CodedOutputStream output =
                    CodedOutputStream.newInstance(encoded.array(), encoded.position(), length);
            frame.writeTo(output);
            output.checkNoSpaceLeft();
            encoded.position(encoded.position() + length);
        }
        return encoded.flip();
    }
}
