package milletyoke.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * An incremental parser of HTTP/1.1 messages, for both ends of a connection: it takes bytes in
 * pieces of any size and delivers complete messages.
 *
 * <p>It is strict. Whatever RFC 9112 leaves to a receiver's judgement is rejected, since two
 * receivers that judge differently would see different messages in the same bytes (section 11.2).
 * An invalid line is rejected when it ends, an invalid start line at its first wrong byte. It keeps
 * no more than the head of a message and the part of its body that was received.
 *
 * <p>Not safe for use by several threads.
 */
public final class HttpMessageDecoder {
    /** Which messages are received. */
    public enum Side {
        /** A server receives requests. */
        REQUESTS,
        /** A client receives responses. */
        RESPONSES
    }

    /**
     * The bounds of one message.
     *
     * @param head bytes of the start line, all headers and the trailer
     * @param fields headers
     * @param body bytes of the body
     */
    public record Limits(int head, int fields, int body) {
        /** A body of 64 KiB is the most that the platform sends; its heads are much shorter. */
        public static final Limits DEFAULT = new Limits(8 * 1024, 64, 64 * 1024);
    }

    /** What is received next. */
    private enum State {
        START_LINE,
        HEADERS,
        /** A body whose length is known. */
        FIXED_BODY,
        /** A body that lasts until the connection is closed. */
        BODY_UNTIL_END,
        CHUNK_SIZE,
        CHUNK_DATA,
        /** The end of line behind a chunk. */
        CHUNK_END,
        TRAILER
    }

    private static final byte[] NO_BODY = {};
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final int FIRST_FINAL_STATUS = 200;

    private final Side side;
    private final Limits limits;
    private final LineBuffer line = new LineBuffer();
    private final StartLine startLine;
    private final BodyBuffer body;
    private State state = State.START_LINE;
    private List<HttpMessage.HeaderField> headers = new ArrayList<>();

    /** Bytes of the head that were received so far. */
    private int headBytes;

    /** Interim responses that were received ahead of the message. */
    private int interimResponses;

    private boolean hasBlankLine;

    /** Bytes that are still to be received of the body or chunk. */
    private int remaining;

    private boolean isContinueExpected;
    private boolean isMalformed;

    /** Creates a decoder whose bodies are bounded by their limit alone. */
    public HttpMessageDecoder(Side side, Limits limits) {
        this(side, limits, null);
    }

    /**
     * Creates a decoder whose bodies share a budget.
     *
     * @param budget of all bytes of bodies beyond the first 2 KiB of each; {@link #discard} gives
     *     them back
     */
    public HttpMessageDecoder(Side side, Limits limits, SharedByteBudget budget) {
        this.side = side;
        this.limits = limits;
        startLine = new StartLine(side);
        body = new BodyBuffer(budget);
    }

    /** Frees the memory of the body. To be called when no more input follows. */
    public void discard() {
        body.discard();
    }

    /** Whether part of a message was received. */
    public boolean isPartial() {
        return state != State.START_LINE || !line.isUntouched() || interimResponses > 0;
    }

    /** Returns true once for a request that waits for 100 Continue (RFC 9110 section 10.1.1). */
    public boolean takeContinueExpected() {
        boolean isExpected = isContinueExpected;
        isContinueExpected = false;
        return isExpected;
    }

    /**
     * Consumes input up to the end of a message, and no further.
     *
     * @return the message; null if it is not complete yet
     * @throws HttpParseException if the message is invalid; then no more input may be decoded
     */
    public HttpMessage decode(ByteBuffer in) throws HttpParseException {
        try {
            return decodeNext(in);
        } catch (HttpParseException malformed) {
            isMalformed = true;
            throw malformed;
        }
    }

    private HttpMessage decodeNext(ByteBuffer in) throws HttpParseException {
        while (in.hasRemaining()) {
            boolean isComplete =
                    switch (state) {
                        case BODY_UNTIL_END -> readUntilEnd(in);
                        case FIXED_BODY -> readBody(in, body.length() + remaining);
                        case CHUNK_DATA -> readChunk(in);
                        default -> addToLine(in.get()) && endLine();
                    };
            if (isComplete) {
                return finishMessage();
            }
        }
        return null;
    }

    /**
     * To be called once the peer has shut down its output. After a reset it must not be called,
     * since a reset does not complete a message (RFC 9112 section 8).
     *
     * @return the response that lasted until the end of the connection; null if there is none, or
     *     if it is incomplete
     */
    public HttpMessage endOfInput() {
        return state == State.BODY_UNTIL_END && !isMalformed ? finishMessage() : null;
    }

    // ---- Lines ----

    /** Adds one byte to the line; returns whether it ended the line. */
    private boolean addToLine(byte next) throws HttpParseException {
        headBytes++;
        if (headBytes > limits.head()) {
            throw new HttpParseException(431, "a head of over " + limits.head() + " bytes");
        }
        if (line.add(next)) {
            return true;
        }
        if (state == State.START_LINE && next != '\r') {
            startLine.checkLastByte(line);
        }
        return false;
    }

    /** Acts on a complete line; returns whether the message is complete. */
    private boolean endLine() throws HttpParseException {
        try {
            return parseLine();
        } finally {
            line.clear();
        }
    }

    private boolean parseLine() throws HttpParseException {
        boolean isEmpty = line.length() == 0;
        switch (state) {
            case START_LINE -> parseStartLine(isEmpty);
            case HEADERS -> {
                if (isEmpty) {
                    return endHeaders();
                }
                addHeader();
            }
            case CHUNK_SIZE -> parseChunkSize();
            case CHUNK_END -> endChunk(isEmpty);
            case TRAILER -> {
                if (isEmpty) {
                    return true;
                }
                // A trailer is validated and ignored.
                HeaderFieldParser.parse(line);
            }
            default -> throw new IllegalStateException("a line ended in state " + state);
        }
        return false;
    }

    private void parseStartLine(boolean isEmpty) throws HttpParseException {
        if (isEmpty) {
            skipBlankLine();
            return;
        }
        startLine.parse(line.text());
        state = State.HEADERS;
    }

    /** One empty line ahead of a request is tolerated (RFC 9112 section 2.2). */
    private void skipBlankLine() throws HttpParseException {
        if (side == Side.RESPONSES || hasBlankLine) {
            throw new HttpParseException(400, "an empty line instead of a start line");
        }
        hasBlankLine = true;
        headBytes = 0;
    }

    private void addHeader() throws HttpParseException {
        headers.add(HeaderFieldParser.parse(line));
        if (headers.size() > limits.fields()) {
            throw new HttpParseException(431, "over " + limits.fields() + " headers");
        }
    }

    // ---- Framing of the body ----

    /**
     * Determines how the body is framed (RFC 9112 section 6.3, without its fallbacks for invalid
     * messages).
     *
     * @return whether the message is complete without a body
     */
    private boolean endHeaders() throws HttpParseException {
        if (side == Side.RESPONSES && startLine.status() < FIRST_FINAL_STATUS) {
            skipInterimResponse();
            return false;
        }
        HttpMessage head = message(NO_BODY);
        checkHost(head);
        int codings = head.headerCount("transfer-encoding");
        int lengths = head.headerCount("content-length");
        checkFramingHeaders(head, codings, lengths);
        boolean isChunked = codings > 0;
        if (isChunked) {
            state = State.CHUNK_SIZE;
        } else if (lengths > 0) {
            remaining =
                    LengthParser.contentLength(head.singleHeader("content-length"), limits.body());
            state = State.FIXED_BODY;
        } else if (side == Side.RESPONSES && !isBodiless()) {
            state = State.BODY_UNTIL_END; // RFC 9112 section 6.3, case 8
            return false;
        }
        boolean hasBody = isChunked || remaining > 0;
        if (hasBody && isBodiless()) {
            throw new HttpParseException(
                    400, "a body in a response with status " + startLine.status());
        }
        String expect = head.singleHeader("expect");
        isContinueExpected = hasBody && "100-continue".equalsIgnoreCase(expect);
        return !hasBody;
    }

    /** Whether a response with this status never has a body. */
    private boolean isBodiless() {
        int status = startLine.status();
        return side == Side.RESPONSES && (status == 204 || status == 304);
    }

    private void checkHost(HttpMessage head) throws HttpParseException {
        if (side == Side.REQUESTS && head.headerCount("host") != 1) {
            throw new HttpParseException(
                    400, "a request without exactly one Host header (RFC 9112 section 3.2)");
        }
    }

    private static void checkFramingHeaders(HttpMessage head, int codings, int lengths)
            throws HttpParseException {
        if (lengths > 0 && codings > 0) {
            throw new HttpParseException(400, "both Content-Length and Transfer-Encoding");
        }
        if (lengths > 1 || codings > 1) {
            throw new HttpParseException(400, "repeated Content-Length or Transfer-Encoding");
        }
        if (codings > 0 && !head.singleHeader("transfer-encoding").equalsIgnoreCase("chunked")) {
            throw new HttpParseException(501, "a transfer coding other than chunked");
        }
    }

    /** Skips an interim response (RFC 9110 section 15.2), up to a number of them. */
    private void skipInterimResponse() throws HttpParseException {
        interimResponses++;
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            throw new HttpParseException(
                    400, "over " + MAX_INTERIM_RESPONSES + " interim responses");
        }
        headers = new ArrayList<>();
        headBytes = 0;
        state = State.START_LINE;
    }

    // ---- The body ----

    private void parseChunkSize() throws HttpParseException {
        int size = LengthParser.chunkSize(line, limits.body());
        if (body.length() + size > limits.body()) {
            throw LengthParser.bodyTooLong(limits.body());
        }
        remaining = size;
        state = size == 0 ? State.TRAILER : State.CHUNK_DATA;
    }

    private void endChunk(boolean isEmpty) throws HttpParseException {
        if (!isEmpty) {
            throw new HttpParseException(400, "a chunk that is longer than its size");
        }
        state = State.CHUNK_SIZE;
    }

    /** Returns false: a chunk never completes a message. */
    private boolean readChunk(ByteBuffer in) throws HttpParseException {
        int received = Math.min(remaining, in.remaining());
        if (readBody(in, body.length() + received)) {
            state = State.CHUNK_END;
        }
        return false;
    }

    /** Returns false: only the end of the connection completes the message. */
    private boolean readUntilEnd(ByteBuffer in) throws HttpParseException {
        if (body.length() + in.remaining() > limits.body()) {
            throw LengthParser.bodyTooLong(limits.body());
        }
        remaining = in.remaining();
        readBody(in, limits.body());
        return false;
    }

    /** Reads the body or chunk as far as it was received; returns whether it is complete. */
    private boolean readBody(ByteBuffer in, int expectedLength) throws HttpParseException {
        int received = Math.min(remaining, in.remaining());
        body.append(in, received, expectedLength);
        remaining -= received;
        return remaining == 0;
    }

    // ---- The message ----

    private HttpMessage message(byte[] content) {
        return new HttpMessage(
                startLine.method(), startLine.target(), startLine.status(), headers, content);
    }

    private HttpMessage finishMessage() {
        HttpMessage message = message(body.toArray());
        state = State.START_LINE;
        headBytes = 0;
        interimResponses = 0;
        hasBlankLine = false;
        startLine.clear();
        headers = new ArrayList<>();
        body.discard();
        isContinueExpected = false;
        line.shrink();
        return message;
    }
}
