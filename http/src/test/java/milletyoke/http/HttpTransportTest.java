package milletyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What the transport guarantees to its users: how far a write got, how connections end, and that
 * cancelled ones are released.
 */
@Timeout(60)
class HttpTransportTest {
    private static final class RecordingHandler implements HttpTransport.Handler {
        final CompletableFuture<HttpConnection> opened = new CompletableFuture<>();
        final CompletableFuture<String> closed = new CompletableFuture<>();

        @Override
        public void opened(HttpConnection conn) {
            opened.complete(conn);
        }

        @Override
        public void read(HttpConnection conn, ByteBuffer in) {}

        @Override
        public void closed(HttpConnection conn, String why) {
            closed.complete(why);
        }
    }

    private static final class RecordingWriteListener implements HttpConnection.WriteListener {
        final CompletableFuture<Boolean> isWritten = new CompletableFuture<>();

        @Override
        public void written() {
            isWritten.complete(true);
        }

        @Override
        public void failed(String why) {
            isWritten.complete(false);
        }
    }

    private static long countOpenSockets() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/self/fd"))) {
            return all.filter(
                            f -> {
                                try {
                                    return Files.readSymbolicLink(f)
                                            .toString()
                                            .startsWith("socket");
                                } catch (IOException gone) {
                                    return false;
                                }
                            })
                    .count();
        }
    }

    /**
     * A server whose accept queue is full neither accepts nor refuses, as an unreachable machine.
     */
    @Test
    void aCancelledConnectAttemptReleasesItsSocket() throws Exception {
        assumeTrue(Files.isDirectory(Path.of("/proc/self/fd")));
        List<Socket> filling = new ArrayList<>();
        try (HttpTransport net = new HttpTransport("test");
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            try {
                for (int i = 0; i < 20; i++) {
                    Socket one = new Socket();
                    filling.add(one);
                    one.connect(full.getLocalSocketAddress(), 200);
                }
            } catch (SocketTimeoutException silent) {
                // the accept queue is full now
            }
            long before = countOpenSockets();
            List<HttpTransport.ConnectAttempt> attempts = new ArrayList<>();
            CompletableFuture<String> failed = new CompletableFuture<>();
            for (int i = 0; i < 10; i++) {
                attempts.add(
                        net.connect(
                                "127.0.0.1",
                                full.getLocalPort(),
                                new RecordingHandler(),
                                failed::complete));
            }
            assertEquals(before + 10, countOpenSockets());
            attempts.forEach(HttpTransport.ConnectAttempt::cancel);
            failed.get();
            while (countOpenSockets() > before) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
        } finally {
            for (Socket s : filling) {
                s.close();
            }
        }
    }

    @Test
    void anIncompleteWriteIsReportedAsFailed() throws Exception {
        try (HttpTransport net = new HttpTransport("test");
                ServerSocket server = new ServerSocket(0)) {
            RecordingHandler ear = new RecordingHandler();
            net.connect("127.0.0.1", server.getLocalPort(), ear, why -> {});
            Socket peer = server.accept();
            HttpConnection conn = ear.opened.get();
            RecordingWriteListener small = new RecordingWriteListener();
            conn.write(ByteBuffer.allocate(100), small);
            assertTrue(small.isWritten.get(), "the system took it");
            RecordingWriteListener large = new RecordingWriteListener();
            conn.write(
                    ByteBuffer.allocate(64 << 20),
                    large); // more than any buffers between the two hold
            TimeUnit.MILLISECONDS.sleep(50);
            assertEquals(false, large.isWritten.isDone(), "the peer does not read");
            peer.setSoLinger(true, 0);
            peer.close();
            assertEquals(false, large.isWritten.get());
            ear.closed.get();
        }
    }

    @Test
    void aRefusedConnectionIsReported() throws Exception {
        int port;
        try (ServerSocket gone = new ServerSocket(0)) {
            port = gone.getLocalPort();
        }
        try (HttpTransport net = new HttpTransport("test")) {
            CompletableFuture<String> failed = new CompletableFuture<>();
            net.connect("127.0.0.1", port, new RecordingHandler(), failed::complete);
            failed.get();
        }
    }

    /** Accepts one connection, and calls a function on its first bytes. */
    private static final class AcceptedConnection implements HttpTransport.Handler {
        final Consumer<HttpConnection> onFirstRead;
        final AtomicInteger readCount = new AtomicInteger();
        final CompletableFuture<String> closed = new CompletableFuture<>();
        Socket peer;

        AcceptedConnection(HttpTransport net, Consumer<HttpConnection> first) throws IOException {
            this.onFirstRead = first;
            int port = net.listen("127.0.0.1", 0, () -> this).port();
            peer = new Socket(InetAddress.getLoopbackAddress(), port);
            peer.setSoTimeout(30_000);
        }

        @Override
        public void opened(HttpConnection conn) {}

        @Override
        public void read(HttpConnection conn, ByteBuffer in) {
            if (readCount.incrementAndGet() == 1) {
                onFirstRead.accept(conn);
            }
        }

        @Override
        public void closed(HttpConnection conn, String why) {
            closed.complete(why);
        }
    }

    /**
     * The peer keeps sending half a megabyte that is never read, over which a close at once would
     * reset the connection.
     */
    @Test
    void aGracefulCloseWithUnreadInputDoesNotReset() throws Exception {
        try (HttpTransport net = new HttpTransport("test")) {
            AcceptedConnection accepted =
                    new AcceptedConnection(
                            net,
                            conn -> {
                                conn.write(
                                        ByteBuffer.wrap(
                                                "the last answer".getBytes(StandardCharsets.UTF_8)),
                                        () -> {});
                                conn.closeGracefully();
                            });
            Socket peer = accepted.peer;
            peer.getOutputStream().write(new byte[512 * 1024]);
            assertEquals(
                    "the last answer",
                    new String(peer.getInputStream().readAllBytes(), StandardCharsets.UTF_8),
                    "and then an end, no reset");
            peer.close();
            accepted.closed.get();
            assertEquals(1, accepted.readCount.get(), "input after the close is discarded");
        }
    }

    /** Far more than the socket buffers hold is pending when the close begins. */
    @Test
    void aGracefulCloseWaitsForPendingWrites() throws Exception {
        int size = 32 << 20;
        try (HttpTransport net = new HttpTransport("test")) {
            Socket peer =
                    new AcceptedConnection(
                                    net,
                                    conn -> {
                                        conn.write(ByteBuffer.allocate(size), () -> {});
                                        conn.closeGracefully();
                                    })
                            .peer;
            peer.getOutputStream().write(1);
            long read = 0;
            for (byte[] some = new byte[1 << 16]; ; ) {
                int n = peer.getInputStream().read(some);
                if (n < 0) {
                    break;
                }
                read += n;
            }
            assertEquals(size, read);
        }
    }

    @Test
    void aPeerThatNeverStopsSendingIsReset() throws Exception {
        try (HttpTransport net = new HttpTransport("test")) {
            Socket peer = new AcceptedConnection(net, HttpConnection::closeGracefully).peer;
            assertThrows(
                    IOException.class,
                    () -> {
                        for (int i = 0; i < 1_000; i++) {
                            peer.getOutputStream().write(new byte[64 * 1024]);
                        }
                    });
        }
    }

    /** A response without a length depends on this. */
    @Test
    void endOfInputIsDistinguishedFromAReset() throws Exception {
        try (HttpTransport net = new HttpTransport("test");
                ServerSocket server = new ServerSocket(0)) {
            for (boolean reset : new boolean[] {false, true}) {
                RecordingHandler ear = new RecordingHandler();
                net.connect("127.0.0.1", server.getLocalPort(), ear, why -> {});
                Socket peer = server.accept();
                HttpConnection conn = ear.opened.get();
                peer.getOutputStream().write(1);
                if (reset) {
                    peer.setSoLinger(true, 0);
                }
                peer.close();
                ear.closed.get();
                assertEquals(!reset, conn.isEndedByPeer());
            }
        }
    }
}
