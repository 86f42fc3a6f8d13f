package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Discovery's agent: answers the whole list at once, and holds a watch until a change. */
final class Discovery implements AutoCloseable {
    private final ServerSocket server;
    private final Supplier<String> entries;
    private final long startMillis = System.currentTimeMillis();
    private int revision = 41;

    /** The calls, with times since the start of discovery. */
    final Queue<String> log = new ConcurrentLinkedQueue<>();

    /** How long the answer to each call takes, beyond the time of a watch; discovery is slow. */
    volatile long delayMillis;

    /** Starts discovery with a list that follows the states of these targets. */
    Discovery(List<Target> targets) throws IOException {
        this(() -> targets.stream().map(Target::entry).collect(Collectors.joining(",")));
    }

    /** Starts discovery with entries that never change. */
    Discovery(String entries) throws IOException {
        this(() -> entries);
    }

    private Discovery(Supplier<String> entries) throws IOException {
        this.entries = entries;
        server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Run.daemon("discovery", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized String list() {
        return "{\"rev\":"
                + revision
                + ",\"all\":true,\"targets\":["
                + entries.get()
                + "]}";
    }

    /** Makes a change of the targets, and tells it to all watches. */
    synchronized void change(Runnable change) {
        change.run();
        revision++;
        notifyAll();
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            Run.daemon("discovery-link", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message call = Http.read(in);
            while (call != null) {
                String path = call.path();
                long calledMillis = System.currentTimeMillis() - startMillis;
                byte[] body = Http.bytes(path.contains("from=") ? watch(path) : list());
                Thread.sleep(delayMillis);
                socket.getOutputStream().write(Http.ok(body));
                log.add(
                        "call at "
                                + calledMillis
                                + " ms: "
                                + path
                                + ", answered at "
                                + (System.currentTimeMillis() - startMillis)
                                + " ms with "
                                + body.length
                                + " bytes");
                call = Http.read(in);
            }
        } catch (IOException ended) {
            // The initiator ended the connection.
        }
    }

    private synchronized String watch(String path) throws InterruptedException {
        long from = number(path, "from");
        long until = System.currentTimeMillis() + number(path, "hold_ms");
        long left = until - System.currentTimeMillis();
        while (revision <= from && left > 0) {
            wait(left);
            left = until - System.currentTimeMillis();
        }
        return revision > from
                ? list()
                : "{\"rev\":" + revision + ",\"all\":false,\"targets\":[]}";
    }

    private static long number(String path, String name) {
        for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return Long.parseLong(pair.substring(name.length() + 1));
            }
        }
        return 0;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
