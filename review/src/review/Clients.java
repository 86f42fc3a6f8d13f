package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that keep their connections, send one request at a time on each, and open more when every
 * one is busy.
 */
final class Clients implements AutoCloseable {
    /** One request and what became of it. */
    static final class Call {
        final String id;
        final String lane;
        final int shard;
        volatile long sentMicros;
        volatile long answeredMicros;

        /** The status; 0 while there is no answer, -1 after the connection ended without one. */
        volatile int status;

        volatile byte[] body = {};

        Call(String id, String lane, int shard) {
            this.id = id;
            this.lane = lane;
            this.shard = shard;
        }
    }

    private record Link(Socket socket, BufferedInputStream in) {}

    final Map<String, Call> calls = new ConcurrentHashMap<>();
    private final int port;
    private final Run run;
    private final AtomicInteger lastId = new AtomicInteger();
    private final ConcurrentLinkedDeque<Link> idle = new ConcurrentLinkedDeque<>();
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "client");
                        thread.setDaemon(true);
                        return thread;
                    });

    Clients(int port, Run run) {
        this.port = port;
        this.run = run;
    }

    /** Sends a request on a thread of its own. A class whose name ends in write has a body. */
    void send(String lane, int shard, double remainingSeconds, byte[] body) {
        Call call = new Call(String.format("%016x", 0x1000 + lastId.incrementAndGet()), lane, shard);
        calls.put(call.id, call);
        threads.execute(() -> exchange(call, remainingSeconds, body));
    }

    private void exchange(Call call, double remainingSeconds, byte[] body) {
        boolean isWrite = call.lane.endsWith("write");
        Link link = idle.poll();
        try {
            if (link == null) {
                Socket socket = new Socket("127.0.0.1", port);
                socket.setTcpNoDelay(true);
                link = new Link(socket, new BufferedInputStream(socket.getInputStream()));
            }
            String head =
                    (isWrite ? "PUT" : "GET")
                            + " /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: "
                            + call.id
                            + "\r\nX-Lane: "
                            + call.lane
                            + "\r\nX-Plan: club\r\nCookie: key="
                            + call.id
                            + "\r\nX-Remaining: "
                            + String.format(Locale.ROOT, "%.3f", remainingSeconds)
                            + (isWrite ? "\r\nContent-Length: " + body.length : "")
                            + "\r\nX-IO: volume=00000003b4d60021,units=2,shard="
                            + call.shard
                            + ",hosts=3\r\n\r\n";
            link.socket.setSoTimeout((int) (remainingSeconds * 1000) + 1500);
            call.sentMicros = run.micros();
            link.socket.getOutputStream().write(isWrite ? Http.join(Http.bytes(head), body) : Http.bytes(head));
            Http.Message answer = Http.read(link.in);
            call.answeredMicros = run.micros();
            if (answer == null) {
                call.status = -1;
                link.socket.close();
                return;
            }
            call.body = answer.body();
            call.status = answer.status();
            if (answer.header("connection").equalsIgnoreCase("close")) {
                link.socket.close();
            } else {
                idle.addLast(link);
            }
        } catch (IOException ended) {
            call.answeredMicros = run.micros();
            call.status = -1;
        }
    }

    long count(int status) {
        return calls.values().stream().filter(call -> call.status == status).count();
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
