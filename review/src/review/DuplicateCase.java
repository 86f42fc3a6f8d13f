package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some answers of targets never end. The initiator may give such an attempt up and send another,
 * but not while the first is still out on an open connection.
 */
public final class DuplicateCase {
    private static final int TARGETS = 9;
    private static final int RATE = 200;
    private static final long END_MICROS = 45_000_000;
    private static final double SPOILT_SHARE = 0.05;

    private final Run run;

    /** The connections with an answer that does not end, by the id of its request. */
    private final Map<String, SocketChannel> unended = new ConcurrentHashMap<>();

    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicInteger retries = new AtomicInteger();
    private final AtomicInteger secondCopies = new AtomicInteger();

    private DuplicateCase(Run run) {
        this.run = run;
    }

    public static void main(String[] args) throws Exception {
        int status = Run.COULD_NOT_RUN;
        try (Run run = new Run(Path.of(args[0]))) {
            status = new DuplicateCase(run).play();
        } catch (Exception failed) {
            failed.printStackTrace();
        }
        Runtime.getRuntime().exit(status);
    }

    private int play() throws Exception {
        StringBuilder entries = new StringBuilder();
        for (int shard = 0; shard < TARGETS; shard++) {
            entries.append(shard > 0 ? "," : "").append(Target.entry("s-" + shard, shard, "up", listen(shard)));
        }
        try (Discovery discovery = new Discovery(entries.toString());
                Gateway gateway = new Gateway(discovery, Gateway.SETTINGS)) {
            gateway.awaitReady();
            try (Clients clients = new Clients(gateway.port(), run)) {
                SplittableRandom random = new SplittableRandom(7);
                long begin = run.micros();
                int sent = 0;
                while (run.micros() - begin < END_MICROS) {
                    while (sent < (run.micros() - begin) * RATE / 1_000_000L) {
                        sent++;
                        clients.send("league-export", random.nextInt(TARGETS), 6.0, new byte[0]);
                    }
                    Thread.sleep(1);
                }
                Thread.sleep(7_000);
                return judge(clients);
            }
        }
    }

    // ---- The targets ----

    private int listen(int shard) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress("127.0.0.1", 0), 256);
        Run.daemon(
                "target-" + shard,
                () -> {
                    while (true) {
                        SocketChannel link = server.accept();
                        Run.daemon("target-link", () -> serve(shard, link));
                    }
                });
        return server.socket().getLocalPort();
    }

    private void serve(int shard, SocketChannel link) throws Exception {
        link.setOption(StandardSocketOptions.TCP_NODELAY, true);
        BufferedInputStream in = new BufferedInputStream(Channels.newInputStream(link));
        Http.Message request = Http.read(in);
        while (request != null) {
            if (request.path().equals("/health/live")) {
                write(link, Http.ok(new byte[0]));
            } else if (!answer(shard, link, request.header("x-txn"))) {
                return;
            }
            request = Http.read(in);
        }
        link.close();
    }

    /** Runs a request whose last byte has come. Returns false if its answer does not end. */
    private boolean answer(int shard, SocketChannel link, String id) throws Exception {
        SocketChannel earlier = unended.remove(id);
        if (earlier != null) {
            checkEarlier(shard, id, earlier);
        }
        run.note("target s-%d runs %s", shard, id);
        Thread.sleep(5);
        boolean isSpoilt =
                run.hasTrouble
                        && earlier == null
                        && ThreadLocalRandom.current().nextDouble() < SPOILT_SHARE;
        if (isSpoilt) {
            spoilt.incrementAndGet();
            link.configureBlocking(false);
            unended.put(id, link);
            write(link, Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf of the"));
            run.note("target s-%d answers %s, and the answer does not end", shard, id);
        } else {
            write(link, Http.ok(Http.bytes("the object of " + id)));
        }
        return !isSpoilt;
    }

    /**
     * Looks whether the earlier attempt of a request that has come whole again is on a connection
     * that is still open: neither its end nor a reset has come.
     */
    private void checkEarlier(int shard, String id, SocketChannel earlier) throws Exception {
        boolean isOpen = isOpen(earlier);
        long seenMicros = run.micros();
        retries.incrementAndGet();
        if (isOpen) {
            secondCopies.incrementAndGet();
            while (isOpen(earlier) && run.micros() - seenMicros < 1_000_000) {
                Thread.onSpinWait();
            }
            run.note(
                    "BROKEN: target s-%d got a second copy of %s, while the first is out on a"
                            + " connection that was open for %d us more",
                    shard, id, run.micros() - seenMicros);
        }
        earlier.close();
    }

    private static boolean isOpen(SocketChannel link) {
        try {
            return link.read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException reset) {
            return false;
        }
    }

    private static void write(SocketChannel link, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            link.write(buffer);
        }
    }

    private int judge(Clients clients) {
        for (Clients.Call call : clients.calls.values()) {
            run.note(
                    "client sent %s at %d us, status %d at %d us",
                    call.id, call.sentMicros, call.status, call.answeredMicros);
        }
        run.result(
                "second copies %d of %d attempts after an answer that did not end; such answers %d,"
                        + " requests %d, 200 %d, 502 %d, 503 %d",
                secondCopies.get(),
                retries.get(),
                spoilt.get(),
                clients.calls.size(),
                clients.count(200),
                clients.count(502),
                clients.count(503));
        if (clients.count(200) < clients.calls.size() / 2) {
            return Run.COULD_NOT_RUN;
        }
        return secondCopies.get() > 0 ? Run.BROKEN : Run.HELD;
    }
}
