package milletyoke.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a peer sees of the end of its connection, on sockets of this machine. */
@Timeout(30)
class ConnectionEndTest {
    private static final String REASON = "ended by the test";
    private static final int LARGE_BYTES = 60_000;
    private static final int SMALL_BUFFER_BYTES = 4_096;

    /** Longer than a small response may be on its way. */
    private static final long TRANSIT_MILLIS = 80;

    private final CompletableFuture<HttpConnection> opened = new CompletableFuture<>();
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final CompletableFuture<ConnectionEnding> ending = new CompletableFuture<>();
    private HttpTransport transport;
    private HttpTransport.Listener listener;
    private Socket peer;
    private HttpConnection connection;

    private final class Recorder implements HttpTransport.Handler {
        @Override
        public void opened(HttpConnection accepted) {
            opened.complete(accepted);
        }

        @Override
        public void read(HttpConnection from, ByteBuffer in) {
            received.add(StandardCharsets.US_ASCII.decode(in).toString());
        }

        @Override
        public void closed(HttpConnection from, String reason) {
            ending.complete(from.ending());
        }
    }

    @BeforeEach
    void listen() throws IOException {
        transport = new HttpTransport("test");
        listener = transport.listen("127.0.0.1", 0, Recorder::new);
    }

    @AfterEach
    void stop() throws IOException {
        transport.close();
        peer.close();
    }

    private void connect(int receiveBufferBytes) throws Exception {
        peer = new Socket();
        if (receiveBufferBytes > 0) {
            peer.setReceiveBufferSize(receiveBufferBytes);
        }
        peer.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port()));
        peer.setSoTimeout(10_000);
        connection = opened.get();
    }

    private void send(String text) throws IOException {
        peer.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void write(int bytes) throws InterruptedException {
        CountDownLatch written = new CountDownLatch(1);
        connection.write(ByteBuffer.allocate(bytes), written::countDown);
        written.await();
    }

    /** Runs a task on the transport's thread while that has not read what was sent before. */
    private void runBeforeReads(String sent, Runnable task) throws Exception {
        CountDownLatch isHeld = new CountDownLatch(1);
        CountDownLatch isSent = new CountDownLatch(1);
        CompletableFuture<Void> done =
                transport.execute(
                        () -> {
                            isHeld.countDown();
                            try {
                                isSent.await();
                            } catch (InterruptedException stopped) {
                                throw new IllegalStateException(stopped);
                            }
                            task.run();
                        });
        isHeld.await();
        send(sent);
        isSent.countDown();
        done.get();
    }

    private boolean endBetweenMessages(boolean canEnd) throws Exception {
        CompletableFuture<Boolean> isEnded = new CompletableFuture<>();
        transport
                .execute(
                        () -> isEnded.complete(connection.endBetweenMessages(REASON, () -> canEnd)))
                .get();
        return isEnded.get();
    }

    private void assertReset() {
        SocketException reset =
                assertThrows(SocketException.class, () -> peer.getInputStream().read());
        assertEquals("Connection reset", reset.getMessage());
    }

    /** Shows why a connection between two messages must not be closed this way. */
    @Test
    void aCloseEndsTheOutputBeforeItResetsUnreadInput() throws Exception {
        connect(0);
        runBeforeReads("unread", () -> connection.close(REASON));
        assertEquals(-1, peer.getInputStream().read(), "the end of the output");
        assertThrows(
                SocketException.class,
                () -> {
                    for (int count = 0; count < 1_000; count++) {
                        send("x");
                        TimeUnit.MILLISECONDS.sleep(1);
                    }
                },
                "the reset");
        assertEquals(ConnectionEnding.Signal.END_OF_OUTPUT, ending.get().signal());
        assertEquals("unread".length(), ending.get().unreadBytes());
        assertTrue(received.isEmpty());
    }

    @Test
    void anIdleConnectionIsResetWithoutAnEndOfOutput() throws Exception {
        connect(0);
        assertTrue(endBetweenMessages(true));
        assertReset();
        assertEquals(ConnectionEnding.Signal.RESET, ending.get().signal());
        assertEquals(REASON, ending.get().reason());
    }

    @Test
    void whatHasArrivedIsDeliveredBeforeTheHandlerIsAsked() throws Exception {
        connect(0);
        runBeforeReads(
                "request",
                () ->
                        assertFalse(
                                connection.endBetweenMessages(
                                        REASON, () -> !received.contains("request"))));
        assertTrue(connection.isOpen());
        write(10);
        assertArrayEquals(new byte[10], peer.getInputStream().readNBytes(10));
    }

    @Test
    void whatArrivesAfterTheLastReadIsResetUnread() throws Exception {
        connect(0);
        runBeforeReads(
                "",
                () ->
                        assertTrue(
                                connection.endBetweenMessages(
                                        REASON,
                                        () -> {
                                            sendUnchecked("late");
                                            return true;
                                        })));
        assertReset();
        assertTrue(received.isEmpty());
        assertEquals("late".length(), ending.get().unreadBytes());
    }

    private void sendUnchecked(String text) {
        try {
            send(text);
        } catch (IOException fault) {
            throw new IllegalStateException(fault);
        }
    }

    @Test
    void moreInputThanTheReadBufferHoldsIsDelivered() throws Exception {
        connect(0);
        String request = "x".repeat(3 * SocketReader.BUFFER_BYTES);
        runBeforeReads(request, () -> connection.readAvailable());
        assertEquals(request.length(), received.stream().mapToInt(String::length).sum());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aResponseThatWasReceivedIsReadBeforeTheReset(int receiveBufferBytes) throws Exception {
        connect(receiveBufferBytes);
        write(1_000);
        TimeUnit.MILLISECONDS.sleep(TRANSIT_MILLIS);
        assertTrue(endBetweenMessages(true));
        assertArrayEquals(new byte[1_000], peer.getInputStream().readNBytes(1_000));
        assertReset();
    }

    @Test
    void aResponseThatWasJustWrittenIsNotEndangered() throws Exception {
        connect(0);
        write(10);
        assertFalse(endBetweenMessages(true));
        assertTrue(connection.isOpen());
    }

    @Test
    void aResponseThatItsPeerMayNotHaveReadIsNotEndangered() throws Exception {
        connect(SMALL_BUFFER_BYTES);
        write(LARGE_BYTES);
        TimeUnit.MILLISECONDS.sleep(TRANSIT_MILLIS);
        assertFalse(endBetweenMessages(true), "part of it waits in the operating system");
        assertArrayEquals(new byte[LARGE_BYTES], peer.getInputStream().readNBytes(LARGE_BYTES));
        send("the next request");
        assertEquals("the next request", received.take());
        assertTrue(endBetweenMessages(true));
        assertReset();
    }

    @Test
    void aConnectionThatClosesGracefullyIsNotReset() throws Exception {
        connect(0);
        write(10);
        connection.closeGracefully();
        assertFalse(endBetweenMessages(true));
        assertArrayEquals(new byte[10], peer.getInputStream().readAllBytes());
    }

    @Test
    void whatArrivesAfterTheLastReadOfATransportStaysUnread() throws Exception {
        connect(0);
        transport.execute(() -> transport.stopReading()).get();
        runBeforeReads("late", () -> connection.readAvailable());
        connection.reset(REASON);
        assertReset();
        assertTrue(received.isEmpty());
    }

    /** Unread input would turn the end of a process into a reset, which destroys the response. */
    @Test
    void aConnectionThatClosesGracefullyIsDrainedAfterTheLastRead() throws Exception {
        connect(SMALL_BUFFER_BYTES);
        write(LARGE_BYTES);
        connection.closeGracefully();
        transport.execute(() -> transport.stopReading()).get();
        runBeforeReads("pipelined", () -> connection.readAvailable());
        connection.close(REASON);
        assertEquals(0, ending.get().unreadBytes());
        assertEquals("pipelined".length(), ending.get().droppedBytes());
        assertArrayEquals(new byte[LARGE_BYTES], peer.getInputStream().readAllBytes());
    }
}
