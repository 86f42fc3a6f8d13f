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
 * An HTTP server on loopback that keeps the requests it gets; a script decides what it replies, if
 * anything. Thread-safe.
 */
public final class ScriptedHttpServer implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    /** Handles one request. */
    public interface Script {
        /** Called on the transport's thread when a request has arrived completely. */
        void onRequest(HttpConnection connection, HttpMessage request);
    }

    private final HttpTransport transport;
    private final HttpTransport.Listener listener;
    private final List<HttpMessage> requests = new CopyOnWriteArrayList<>();
    private final List<HttpConnection> open = new CopyOnWriteArrayList<>();
    private volatile Script script;

    /**
     * Starts a server at a free port.
     *
     * @param name of its threads
     * @throws IOException if it cannot listen
     */
    public ScriptedHttpServer(String name, Script script) throws IOException {
        this.script = script;
        transport = new HttpTransport(name);
        listener = transport.listen(HOST, 0, RequestHandler::new);
    }

    /** The port it listens at. */
    public int port() {
        return listener.port();
    }

    /** Replaces the script. */
    public void script(Script next) {
        script = next;
    }

    /** Every complete request so far, in the order in which they were completed; live. */
    public List<HttpMessage> requests() {
        return requests;
    }

    /** The connections that are open now; live. */
    public List<HttpConnection> open() {
        return open;
    }

    /** Writes a response with a body. */
    public static void answer(HttpConnection connection, int status, byte[] body) {
        connection.write(
                HeaderWriter.response(status).contentLength(body.length).toBuffer(),
                ByteBuffer.wrap(body),
                () -> {});
    }

    /** Writes bytes as they are, whether or not they are HTTP. */
    public static void raw(HttpConnection connection, byte[] bytes) {
        connection.write(ByteBuffer.wrap(bytes), () -> {});
    }

    @Override
    public void close() {
        listener.stop();
        open.forEach(connection -> connection.close("the stand-in ends"));
        transport.close();
    }

    private final class RequestHandler implements HttpTransport.Handler {
        private final HttpMessageDecoder decoder =
                new HttpMessageDecoder(
                        HttpMessageDecoder.Side.REQUESTS, HttpMessageDecoder.Limits.DEFAULT);

        @Override
        public void opened(HttpConnection connection) {
            open.add(connection);
        }

        @Override
        public void read(HttpConnection connection, ByteBuffer in) {
            try {
                HttpMessage request = decoder.decode(in);
                while (request != null) {
                    requests.add(request);
                    script.onRequest(connection, request);
                    request = decoder.decode(in);
                }
            } catch (HttpParseException malformed) {
                connection.close("cannot be read: " + malformed.getMessage());
            }
        }

        @Override
        public void closed(HttpConnection connection, String reason) {
            open.remove(connection);
        }
    }
}
