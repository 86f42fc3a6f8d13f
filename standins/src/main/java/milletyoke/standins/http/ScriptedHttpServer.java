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
 * An HTTP server on the loopback interface that records the requests it receives and responds as
 * scripted. Thread-safe.
 */
public final class ScriptedHttpServer implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    /** Handles requests. */
    public interface Script {
        /** Called on the transport's thread when a request has been received completely. */
        void onRequest(HttpConnection connection, HttpMessage request);
    }

    private final HttpTransport transport;
    private final HttpTransport.Listener listener;
    private final List<HttpMessage> requests = new CopyOnWriteArrayList<>();
    private final List<HttpConnection> openConnections = new CopyOnWriteArrayList<>();
    private volatile Script script;

    /**
     * Starts a server on a free port.
     *
     * @param name prefix of its threads' names
     * @throws IOException if the port cannot be opened
     */
    public ScriptedHttpServer(String name, Script script) throws IOException {
        this.script = script;
        transport = new HttpTransport(name);
        listener = transport.listen(HOST, 0, RequestHandler::new);
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listener.port();
    }

    /** Replaces the script that handles the requests from now on. */
    public void script(Script next) {
        script = next;
    }

    /** Returns a live list of all requests received completely, in order of completion. */
    public List<HttpMessage> requests() {
        return requests;
    }

    /** Returns a live list of the open connections. */
    public List<HttpConnection> open() {
        return openConnections;
    }

    /** Writes a response with a body. */
    public static void answer(HttpConnection connection, int status, byte[] body) {
        connection.write(
                HeaderWriter.response(status).contentLength(body.length).toBuffer(),
                ByteBuffer.wrap(body),
                () -> {});
    }

    /** Writes bytes unchanged; they need not be valid HTTP. */
    public static void raw(HttpConnection connection, byte[] bytes) {
        connection.write(ByteBuffer.wrap(bytes), () -> {});
    }

    @Override
    public void close() {
        listener.stop();
        openConnections.forEach(connection -> connection.close("test server stopped"));
        transport.close();
    }

    private final class RequestHandler implements HttpTransport.Handler {
        private final HttpMessageDecoder decoder =
                new HttpMessageDecoder(
                        HttpMessageDecoder.Side.REQUESTS, HttpMessageDecoder.Limits.DEFAULT);

        @Override
        public void opened(HttpConnection connection) {
            openConnections.add(connection);
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
                connection.close("malformed request: " + malformed.getMessage());
            }
        }

        @Override
        public void closed(HttpConnection connection, String reason) {
            openConnections.remove(connection);
        }
    }
}
