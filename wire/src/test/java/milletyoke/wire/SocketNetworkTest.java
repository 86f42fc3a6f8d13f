package milletyoke.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A participant's connections are bounded, and a place that comes free may be taken again. */
@Timeout(30)
class SocketNetworkTest implements PeerListener {
    @Override
    public void onReady(PeerConnection peer) {}

    @Override
    public void onFrame(PeerConnection peer, Frame frame) {}

    @Override
    public void onClosed(PeerConnection peer, String why) {}

    private static boolean greeted(Socket socket) throws Exception {
        socket.setSoTimeout(5_000);
        try {
            return socket.getInputStream().read() >= 0; // the first byte of a hello, or the end
        } catch (java.net.SocketException reset) {
            return false;
        }
    }

    @Test
    void connectionsBeyondTheBoundAreClosedAsTheyCome() throws Exception {
        try (SocketNetwork wire = new SocketNetwork("test", 1, FrameObserver.NONE, 2)) {
            int port =
                    wire.listen("127.0.0.1", 0, Role.INITIATOR, this, FrameLimits.DEFAULT).port();
            List<Socket> open = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                open.add(new Socket("127.0.0.1", port));
                assertTrue(greeted(open.get(i)));
            }
            try (Socket third = new Socket("127.0.0.1", port)) {
                assertEquals(false, greeted(third));
            }
            open.get(0).close();
            boolean again = false;
            for (int i = 0; i < 200 && !again; i++) {
                Thread.sleep(10);
                try (Socket next = new Socket("127.0.0.1", port)) {
                    again = greeted(next);
                }
            }
            assertTrue(again, "a place came free");
            open.get(1).close();
        }
    }

    /**
     * Frames of one turn leave in one write; none is lost or changed, and their order stays,
     * whatever their sizes.
     */
    @Test
    void whatIsPostedComesWholeAndInOrder() throws Exception {
        int frames = 5_000;
        java.util.SplittableRandom chance = new java.util.SplittableRandom(1);
        java.util.concurrent.BlockingQueue<Frame> came =
                new java.util.concurrent.LinkedBlockingQueue<>();
        java.util.concurrent.BlockingQueue<PeerConnection> ready =
                new java.util.concurrent.LinkedBlockingQueue<>();
        PeerListener taking =
                new PeerListener() {
                    @Override
                    public void onReady(PeerConnection peer) {}

                    @Override
                    public void onFrame(PeerConnection peer, Frame frame) {
                        came.add(frame);
                    }

                    @Override
                    public void onClosed(PeerConnection peer, String why) {}
                };
        PeerListener sending =
                new PeerListener() {
                    @Override
                    public void onReady(PeerConnection peer) {
                        ready.add(peer);
                    }

                    @Override
                    public void onFrame(PeerConnection peer, Frame frame) {}

                    @Override
                    public void onClosed(PeerConnection peer, String why) {}
                };
        FrameLimits wide = new FrameLimits(1 << 20, 1L << 30, 5_000_000, 0);
        try (SocketNetwork server = new SocketNetwork("server", 1, FrameObserver.NONE, 4);
                SocketNetwork client = new SocketNetwork("client", 1, FrameObserver.NONE, 4)) {
            int port = server.listen("127.0.0.1", 0, Role.INITIATOR, taking, wide).port();
            client.connect("127.0.0.1", port, Role.CLIENT, sending, wide, why -> {});
            PeerConnection peer = ready.poll(5, java.util.concurrent.TimeUnit.SECONDS);
            assertTrue(peer != null, "connected");
            List<Frame> sent = new ArrayList<>();
            for (int i = 0; i < frames; i++) {
                byte[] payload =
                        new byte
                                [chance.nextInt(10) == 0
                                        ? chance.nextInt(60_000)
                                        : chance.nextInt(200)];
                java.util.Arrays.fill(payload, (byte) i);
                Frame frame =
                        Frame.newBuilder()
                                .setResponse(
                                        milletyoke.wire.proto.Response.newBuilder()
                                                .setNumber(i)
                                                .setPayload(
                                                        com.google.protobuf.ByteString.copyFrom(
                                                                payload)))
                                .build();
                sent.add(frame);
                assertTrue(
                        chance.nextInt(50) == 0 ? flushThenSend(peer, frame) : peer.enqueue(frame));
                if (chance.nextInt(20) == 0) {
                    peer.flush();
                }
            }
            peer.flush();
            for (Frame expected : sent) {
                assertEquals(expected, came.poll(10, java.util.concurrent.TimeUnit.SECONDS));
            }
            for (int i = 0; i < 500 && peer.unsentBytes() > 0; i++) {
                Thread.sleep(10);
            }
            assertEquals(0, peer.unsentBytes(), "nothing is counted as waiting any more");
        }
    }

    private static boolean flushThenSend(PeerConnection peer, Frame frame) {
        peer.flush();
        return peer.send(frame);
    }
}
