package milletyoke.standins.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import milletyoke.http.HeaderWriter;
import milletyoke.http.HttpConnection;
import milletyoke.http.HttpMessage;
import milletyoke.http.HttpMessageDecoder;
import milletyoke.http.HttpParseException;
import milletyoke.http.HttpTransport;

/**
 * Something on loopback that is asked over HTTP: it keeps what it was asked, and a script says what
 * it answers, if at all.
 */
public final class ScriptedHttpServer implements AutoCloseable {
    /** What becomes of one request; called on the sockets' thread. */
    public interface Script {
        void onRequest(HttpConnection conn, HttpMessage request);
    }

    private final HttpTransport net;
    private final HttpTransport.Listener listener;
    private final List<HttpMessage> requests = new CopyOnWriteArrayList<>();
    private final List<HttpConnection> open = new CopyOnWriteArrayList<>();
    private volatile Script script;

    public ScriptedHttpServer(String name, Script script) throws IOException {
        this.script = script;
        net = new HttpTransport(name);
        listener = net.listen("127.0.0.1", 0, RequestHandler::new);
    }

    public int port() {
        return listener.port();
    }

    public void script(Script next) {
        script = next;
    }

    /** Every request that came whole, in the order of their ends. */
    public List<HttpMessage> requests() {
        return requests;
    }

    /** Connections that are open now. */
    public List<HttpConnection> open() {
        return open;
    }

    public static void answer(HttpConnection conn, int status, byte[] body) {
        conn.write(
                HeaderWriter.response(status).contentLength(body.length).toBuffer(),
                ByteBuffer.wrap(body),
                () -> {});
    }

    /** Bytes as they are, sense or none. */
    public static void raw(HttpConnection conn, byte[] bytes) {
        conn.write(ByteBuffer.wrap(bytes), () -> {});
    }

    @Override
    public void close() {
        listener.stop();
        open.forEach(c -> c.close("the stand-in ends"));
        net.close();
    }

    private final class RequestHandler implements HttpTransport.Handler {
        private final HttpMessageDecoder decoder =
                new HttpMessageDecoder(
                        HttpMessageDecoder.Side.REQUESTS, HttpMessageDecoder.Limits.DEFAULT);

        @Override
        public void opened(HttpConnection conn) {
            open.add(conn);
        }

        @Override
        public void read(HttpConnection conn, ByteBuffer in) {
            try {
                for (HttpMessage m = decoder.decode(in); m != null; m = decoder.decode(in)) {
                    requests.add(m);
                    script.onRequest(conn, m);
                }
            } catch (HttpParseException bad) {
                conn.close("cannot be read: " + bad.getMessage());
            }
        }

        @Override
        public void closed(HttpConnection conn, String why) {
            open.remove(conn);
        }
    }
}
