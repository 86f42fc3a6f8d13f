package milletyoke.wire;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Role;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a close that is reported while the connection is still open for the peer: a retry
 * of an attempt on it could overtake its end.
 *
 * <p>The order of events is forced: the listener returns only after the peer has looked at its end
 * of the connection, and until then the thread that reports the close closes nothing.
 */
@Timeout(30)
class PeerCloseTest implements PeerListener {
    private static final int END_TIMEOUT_MILLIS = 1_000;

    /** More than the buffers of both sockets hold. */
    private static final int LARGE_FRAME_BYTES = 32 << 20;

    private static final FrameLimits LIMITS = new FrameLimits(64 << 20, 1L << 30, 5_000_000, 0);

    private final CompletableFuture<PeerConnection> ready = new CompletableFuture<>();
    private final CompletableFuture<Boolean> hadEndedForPeer = new CompletableFuture<>();
    private final CountDownLatch isHeld = new CountDownLatch(1);
    private final CountDownLatch mayContinue = new CountDownLatch(1);
    private ServerSocket server;
    private SocketNetwork network;
    private Socket peer;
    private final AtomicLong receivedBytes = new AtomicLong();

    @BeforeEach
    void connect() throws Exception {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        network = new SocketNetwork("test", 1, FrameObserver.NONE);
        network.connect(
                "127.0.0.1", server.getLocalPort(), Role.INITIATOR, this, LIMITS, reason -> {});
        peer = server.accept();
        write(PeerHello.frame(Role.TARGET, "peer"));
        ready.get();
    }

    @AfterEach
    void stop() throws IOException {
        mayContinue.countDown();
        network.abort();
        peer.close();
        server.close();
    }

    private void write(Frame frame) throws IOException {
        DataOutputStream out = new DataOutputStream(peer.getOutputStream());
        out.writeInt(frame.getSerializedSize());
        out.write(frame.toByteArray());
    }

    @Override
    public void onReady(PeerConnection connection) {
        ready.complete(connection);
    }

    /** Holds the thread that serves the sockets. */
    @Override
    public void onFrame(PeerConnection connection, Frame frame) {
        isHeld.countDown();
        try {
            mayContinue.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void onClosed(PeerConnection connection, String reason) {
        hadEndedForPeer.complete(hasEndedForPeer());
    }

    private boolean hasEndedForPeer() {
        try {
            peer.setSoTimeout(END_TIMEOUT_MILLIS);
            byte[] buffer = new byte[1 << 16];
            int count = 0;
            while (count >= 0) {
                count = peer.getInputStream().read(buffer);
                receivedBytes.addAndGet(count);
            }
            return true;
        } catch (SocketTimeoutException stillOpen) {
            return false;
        } catch (SocketException reset) {
            return true;
        } catch (IOException fault) {
            throw new IllegalStateException(fault);
        }
    }

    private static Frame attempt(int payloadBytes) {
        ByteString payload = ByteString.copyFrom(new byte[payloadBytes]);
        return Frame.newBuilder().setAttempt(Attempt.newBuilder().setPayload(payload)).build();
    }

    private void assertEndedFirst() throws Exception {
        assertTrue(hadEndedForPeer.get(), "the close was reported while the connection was open");
    }

    @Test
    void aConnectionClosedByAnotherThreadHasEnded() throws Exception {
        write(attempt(1));
        isHeld.await();
        ready.get().close("abandoned");
        assertEndedFirst();
    }

    @Test
    void aConnectionClosedForMalformedInputHasEnded() throws Exception {
        new DataOutputStream(peer.getOutputStream()).writeInt(-1);
        assertEndedFirst();
    }

    @Test
    void aConnectionWhosePeerEndedItsSendingHasEnded() throws Exception {
        peer.shutdownOutput();
        assertEndedFirst();
    }

    /** The peer does not read, so that part of an attempt is unsent: it must never follow. */
    @Test
    void aConnectionWithUnsentFramesHasEnded() throws Exception {
        assertTrue(ready.get().send(attempt(LARGE_FRAME_BYTES)));
        assertTrue(ready.get().unsentBytes() > 0);
        ready.get().close("abandoned");
        assertEndedFirst();
        assertTrue(receivedBytes.get() < LARGE_FRAME_BYTES, "the attempt was sent after the close");
    }
}
