package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A target: holds one shard, runs one request at a time on each connection. */
final class Target implements AutoCloseable {
    /** What the target does with a request that has come whole. Runs on the connection's thread. */
    interface Behaviour {
        void handle(Target target, Link link, Http.Message request) throws Exception;
    }

    /** One connection from the initiator. */
    static final class Link {
        final Socket socket;

        /** Number of requests that have come whole on this connection. */
        volatile int received;

        Link(Socket socket) {
            this.socket = socket;
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    final String uid;
    final int shard;
    volatile String state = "up";
    volatile boolean isHanging;
    private final ServerSocket server;
    private final Behaviour behaviour;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Target(String uid, int shard, Behaviour behaviour) throws IOException {
        this.uid = uid;
        this.shard = shard;
        this.behaviour = behaviour;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Run.daemon("target-" + uid, this::accept);
    }

    String entry() {
        return entry(uid, shard, state, server.getLocalPort());
    }

    /** Returns the entry of a target in discovery's list. */
    static String entry(String uid, int shard, String state, int port) {
        return "{\"uid\":\""
                + uid
                + "\",\"endpoint\":\"127.0.0.1:"
                + port
                + "\",\"az\":\"pos-room\",\"model\":\"dual-fast\",\"pod_group\":"
                + shard
                + ",\"state\":\""
                + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Run.daemon("target-" + uid + "-link", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        Link link = new Link(socket);
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            Http.Message request = Http.read(in);
            while (request != null) {
                while (isHanging) {
                    Thread.sleep(20); // takes work, answers nothing until it hangs no more
                }
                if (request.path().equals("/health/live")) {
                    link.write(Http.ok(new byte[0]));
                } else {
                    link.received++;
                    behaviour.handle(this, link, request);
                }
                request = Http.read(in);
            }
        } catch (IOException ended) {
            // The initiator ended the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
