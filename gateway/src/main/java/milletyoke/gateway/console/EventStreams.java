package milletyoke.gateway.console;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import milletyoke.wire.SocketNetwork;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Serves the server-sent event streams, each of which sends the content of one page once a second.
 * A stream is closed when its token becomes invalid or its client stops reading. Streams are opened
 * on worker threads and written on the console's update thread.
 */
final class EventStreams {
    private static final int MAX_STREAMS = 256;

    private final PageModels pages;
    private final Tokens tokens;
    private final long readTimeoutMicros;
    private final Set<Stream> streams = ConcurrentHashMap.newKeySet();

    /**
     * Creates an empty set of streams.
     *
     * @param readTimeoutMicros time after which a stream is closed if its client does not read
     */
    EventStreams(PageModels pages, Tokens tokens, long readTimeoutMicros) {
        this.pages = pages;
        this.tokens = tokens;
        this.readTimeoutMicros = readTimeoutMicros;
    }

    /**
     * Opens a stream and sends its first event.
     *
     * @param updater executor on which events are sent
     */
    void open(
            Request request,
            Response response,
            String token,
            String page,
            PageQuery query,
            Executor updater)
            throws HttpProblemException {
        if (streams.size() >= MAX_STREAMS) {
            throw HttpProblemException.tooManyStreams(MAX_STREAMS);
        }
        response.setContentType("text/event-stream");
        response.setCharacterEncoding("UTF-8");
        response.suspend();
        Stream stream = new Stream(response, token, page, query);
        CloseListener<Connection<?>, CloseType> onClosed = (closed, type) -> stream.close();
        request.getContext().getConnection().addCloseListener(onClosed);
        streams.add(stream);
        updater.execute(stream::update);
    }

    /** Sends the current content to every stream. */
    void updateAll() {
        streams.forEach(Stream::update);
    }

    void closeAll() {
        List.copyOf(streams).forEach(Stream::close);
    }

    /** The stream of one page to one client. */
    private final class Stream {
        private final Response response;
        private final String token;
        private final String page;
        private final PageQuery query;
        private volatile long lastSentMicros = SocketNetwork.monotonicMicros();

        Stream(Response response, String token, String page, PageQuery query) {
            this.response = response;
            this.token = token;
            this.page = page;
            this.query = query;
        }

        void update() {
            AccessScope scope = tokens.scope(token);
            long sinceSentMicros = SocketNetwork.monotonicMicros() - lastSentMicros;
            if (scope == null || sinceSentMicros > readTimeoutMicros) {
                close();
                return;
            }
            if (!response.getNIOOutputStream().canWrite()) {
                return; // the client has not read the last event; skipped until the read timeout
            }
            try {
                response.getNIOOutputStream().write(event(scope));
                response.getNIOOutputStream().flush();
                lastSentMicros = SocketNetwork.monotonicMicros();
            } catch (IOException | RuntimeException disconnected) {
                close();
            }
        }

        private byte[] event(AccessScope scope) throws IOException {
            String data = Responses.toJsonText(pages.view(page, scope, query));
            return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        }

        void close() {
            if (streams.remove(this)) {
                try {
                    response.resume();
                } catch (RuntimeException alreadyClosed) {
                    // the connection is already closed
                }
            }
        }
    }
}
