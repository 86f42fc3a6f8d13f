package milletyoke.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the connection limit and the order of enqueued frames, over loopback sockets. */
@Timeout(30)
class SocketNetworkTest implements PeerListener {
    @Override
    public void onReady(PeerConnection peer) {}

    @Override
    public void onFrame(PeerConnection peer, Frame frame) {}

    @Override
    public void onClosed(PeerConnection peer, String reason) {}

    private static boolean receivesHello(Socket socket) throws Exception {
        socket.setSoTimeout(5_000);
        try {
            return socket.getInputStream().read() >= 0; // first byte of the hello, or end of input
        } catch (SocketException reset) {
            return false;
        }
    }

    @Test
    void connectionsOverTheLimitAreClosedOnAccept() throws Exception {
        try (SocketNetwork network = new SocketNetwork("test", 1, FrameObserver.NONE, 2)) {
            int port =
                    network.listen("127.0.0.1", 0, Role.INITIATOR, this, FrameLimits.DEFAULT)
                            .port();
            List<Socket> open = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                open.add(new Socket(InetAddress.getLoopbackAddress(), port));
                assertTrue(receivesHello(open.get(i)));
            }
            try (Socket third = new Socket(InetAddress.getLoopbackAddress(), port)) {
                assertFalse(receivesHello(third));
            }
            open.get(0).close();
            boolean isAcceptedAgain = false;
            for (int i = 0; i < 200 && !isAcceptedAgain; i++) {
                Thread.sleep(10);
                try (Socket next = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    isAcceptedAgain = receivesHello(next);
                }
            }
            assertTrue(isAcceptedAgain, "a new connection is accepted after another was closed");
            open.get(1).close();
        }
    }

    /** Enqueued frames of any size are neither lost nor changed nor reordered. */
    @Test
    void enqueuedFramesArriveCompleteAndInOrder() throws Exception {
        RecordingListener receiver = new RecordingListener();
        RecordingListener sender = new RecordingListener();
        FrameLimits highLimits = new FrameLimits(1 << 20, 1L << 30, 5_000_000, 0);
        try (SocketNetwork server = new SocketNetwork("server", 1, FrameObserver.NONE, 4);
                SocketNetwork client = new SocketNetwork("client", 1, FrameObserver.NONE, 4)) {
            int port = server.listen("127.0.0.1", 0, Role.INITIATOR, receiver, highLimits).port();
            client.connect("127.0.0.1", port, Role.CLIENT, sender, highLimits, reason -> {});
            PeerConnection peer = sender.ready.poll(5, TimeUnit.SECONDS);
            assertTrue(peer != null, "the connection is ready");
            for (Frame expected : sendFrames(peer, 5_000)) {
                assertEquals(expected, receiver.frames.poll(10, TimeUnit.SECONDS));
            }
            for (int i = 0; i < 500 && peer.unsentBytes() > 0; i++) {
                Thread.sleep(10);
            }
            assertEquals(
                    0, peer.unsentBytes(), "no bytes are pending after all frames were written");
        }
    }

    /** Enqueues frames of random sizes, sends some directly instead and flushes at random times. */
    private static List<Frame> sendFrames(PeerConnection peer, int count) {
        SplittableRandom random = new SplittableRandom(1);
        List<Frame> sent = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Frame frame = response(i, payload(random, i));
            sent.add(frame);
            assertTrue(random.nextInt(50) == 0 ? flushThenSend(peer, frame) : peer.enqueue(frame));
            if (random.nextInt(20) == 0) {
                peer.flush();
            }
        }
        peer.flush();
        return sent;
    }

    private static byte[] payload(SplittableRandom random, int number) {
        int length = random.nextInt(10) == 0 ? random.nextInt(60_000) : random.nextInt(200);
        byte[] payload = new byte[length];
        Arrays.fill(payload, (byte) number);
        return payload;
    }

    private static Frame response(int number, byte[] payload) {
        Response.Builder response =
                Response.newBuilder().setNumber(number).setPayload(ByteString.copyFrom(payload));
        return Frame.newBuilder().setResponse(response).build();
    }

    private static boolean flushThenSend(PeerConnection peer, Frame frame) {
        peer.flush();
        return peer.send(frame);
    }

    /** Records the peers that became ready and the frames that were received. */
    private static final class RecordingListener implements PeerListener {
        private final BlockingQueue<PeerConnection> ready = new LinkedBlockingQueue<>();
        private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

        @Override
        public void onReady(PeerConnection peer) {
            ready.add(peer);
        }

        @Override
        public void onFrame(PeerConnection peer, Frame frame) {
            frames.add(frame);
        }

        @Override
        public void onClosed(PeerConnection peer, String reason) {}
    }
}
