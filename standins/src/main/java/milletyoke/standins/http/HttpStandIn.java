package milletyoke.standins.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import milletyoke.http.Decoder;
import milletyoke.http.Heads;
import milletyoke.http.HttpConn;
import milletyoke.http.HttpNet;
import milletyoke.http.Malformed;
import milletyoke.http.Message;

/**
 * Something on loopback that is asked over HTTP: it keeps what it was asked, and a script says what
 * it answers, if at all.
 */
public final class HttpStandIn implements AutoCloseable {
    /** What becomes of one request; called on the sockets' thread. */
    public interface Script {
        void asked(HttpConn conn, Message request);
    }

    private final HttpNet net;
    private final HttpNet.Listener listener;
    private final List<Message> asked = new CopyOnWriteArrayList<>();
    private final List<HttpConn> open = new CopyOnWriteArrayList<>();
    private volatile Script script;

    public HttpStandIn(String name, Script script) throws IOException {
        this.script = script;
        net = new HttpNet(name);
        listener = net.listen("127.0.0.1", 0, Ear::new);
    }

    public int port() {
        return listener.port();
    }

    public void script(Script next) {
        script = next;
    }

    /** Every request that came whole, in the order of their ends. */
    public List<Message> asked() {
        return asked;
    }

    /** Connections that are open now. */
    public List<HttpConn> open() {
        return open;
    }

    public static void answer(HttpConn conn, int status, byte[] body) {
        conn.write(
                Heads.answer(status).withLength(body.length).end(),
                ByteBuffer.wrap(body),
                () -> {});
    }

    /** Bytes as they are, sense or none. */
    public static void raw(HttpConn conn, byte[] bytes) {
        conn.write(ByteBuffer.wrap(bytes), () -> {});
    }

    @Override
    public void close() {
        listener.stop();
        open.forEach(c -> c.close("the stand-in ends"));
        net.close();
    }

    private final class Ear implements HttpNet.Handler {
        private final Decoder decoder = new Decoder(Decoder.Side.REQUESTS, Decoder.Limits.USUAL);

        @Override
        public void opened(HttpConn conn) {
            open.add(conn);
        }

        @Override
        public void read(HttpConn conn, ByteBuffer in) {
            try {
                for (Message m = decoder.take(in); m != null; m = decoder.take(in)) {
                    asked.add(m);
                    script.asked(conn, m);
                }
            } catch (Malformed bad) {
                conn.close("cannot be read: " + bad.getMessage());
            }
        }

        @Override
        public void closed(HttpConn conn, String why) {
            open.remove(conn);
        }
    }
}
