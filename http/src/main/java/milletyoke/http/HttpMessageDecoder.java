package milletyoke.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses HTTP/1.1 messages incrementally, for both ends of a connection: takes input in pieces of
 * any size and delivers complete messages.
 *
 * <p>The decoder is strict. It rejects input whose interpretation RFC 9112 leaves to the receiver,
 * because two receivers with different interpretations would see different messages in the same
 * bytes (request smuggling, section 11.2). An invalid line is rejected at its end, an invalid start
 * line at its first invalid byte. The decoder buffers only the head of a message and the received
 * part of its body.
 *
 * <p>Not thread-safe.
 */
public final class HttpMessageDecoder {
    /** The kind of messages that are received. */
    public enum Side {
        /** Requests, as a server receives them. */
        REQUESTS,
        /** Responses, as a client receives them. */
        RESPONSES
    }

    /**
     * Limits on one message.
     *
     * @param maxHeadBytes maximum size of the start line, all headers and the trailer together
     * @param maxHeaders maximum number of headers
     * @param maxBodyBytes maximum size of the body
     */
    public record Limits(int maxHeadBytes, int maxHeaders, int maxBodyBytes) {
        /**
         * The default limits. The platform sends bodies of up to 64 KiB, and heads much shorter
         * than the limit.
         */
        public static final Limits DEFAULT = new Limits(8 * 1024, 64, 64 * 1024);
    }

    /** The part of the message that is received next. */
    private enum State {
        START_LINE,
        HEADERS,
        /** A body with a known length. */
        FIXED_BODY,
        /** A body that ends when the connection is closed. */
        BODY_UNTIL_END,
        CHUNK_SIZE,
        CHUNK_DATA,
        /** The line terminator after a chunk. */
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

    /** Bytes received of the head so far. */
    private int headBytes;

    /** Number of interim responses received before the message. */
    private int interimResponses;

    private boolean hasSkippedEmptyLine;

    /** Bytes of the body or chunk that are still to be received. */
    private int remainingBytes;

    private boolean isContinueExpected;
    private boolean isMalformed;

    /** Creates a decoder without a shared budget: only the limits bound the size of a body. */
    public HttpMessageDecoder(Side side, Limits limits) {
        this(side, limits, null);
    }

    /** Creates a decoder that rejects a message for whose body the budget has no room. */
    public HttpMessageDecoder(Side side, Limits limits, SharedByteBudget budget) {
        this(side, limits, budget, BodyPolicy.REJECT_WITHOUT_MEMORY);
    }

    /**
     * Creates a decoder whose bodies share a budget with other decoders.
     *
     * @param budget bounds the bytes of all bodies beyond the first 2 KiB of each; {@link #discard}
     *     releases the bytes of this decoder
     */
    public HttpMessageDecoder(
            Side side, Limits limits, SharedByteBudget budget, BodyPolicy bodyPolicy) {
        this.side = side;
        this.limits = limits;
        startLine = new StartLine(side);
        body = new BodyBuffer(budget, bodyPolicy);
    }

    /** Releases the memory of the body. To be called when no more input follows. */
    public void discard() {
        body.discard();
    }

    /** Returns whether a message was received in part. */
    public boolean isPartial() {
        return state != State.START_LINE || !line.hasNoInput() || interimResponses > 0;
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
     * @return the message, or null if it is not complete yet
     * @throws HttpParseException if the message is invalid; no more input may be decoded afterwards
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
                        case FIXED_BODY -> readBody(in, body.length() + remainingBytes);
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
     * Completes a response that is delimited by the end of the connection. To be called when the
     * peer has shut down its output, but not after a reset, since a reset does not complete a
     * message (RFC 9112 section 8).
     *
     * @return the response, or null if there is none or it is incomplete
     */
    public HttpMessage endOfInput() {
        return state == State.BODY_UNTIL_END && !isMalformed ? finishMessage() : null;
    }

    // ---- Lines ----

    /** Adds one byte to the line and returns whether the byte ended the line. */
    private boolean addToLine(byte next) throws HttpParseException {
        headBytes++;
        if (headBytes > limits.maxHeadBytes()) {
            throw new HttpParseException(
                    431, "message head exceeds " + limits.maxHeadBytes() + " bytes");
        }
        if (line.add(next)) {
            return true;
        }
        if (state == State.START_LINE && next != '\r') {
            startLine.checkLastByte(line);
        }
        return false;
    }

    /** Processes a complete line and returns whether the message is complete. */
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
                // Trailer fields are validated and ignored.
                HeaderFieldParser.parse(line);
            }
            default ->
                    throw new IllegalStateException("unexpected end of a line in state " + state);
        }
        return false;
    }

    private void parseStartLine(boolean isEmpty) throws HttpParseException {
        if (isEmpty) {
            skipEmptyLine();
            return;
        }
        startLine.parse(line.text());
        state = State.HEADERS;
    }

    /** Skips an empty line before a request; only one is tolerated (RFC 9112 section 2.2). */
    private void skipEmptyLine() throws HttpParseException {
        if (side == Side.RESPONSES || hasSkippedEmptyLine) {
            throw new HttpParseException(400, "empty line instead of a start line");
        }
        hasSkippedEmptyLine = true;
        headBytes = 0;
    }

    private void addHeader() throws HttpParseException {
        headers.add(HeaderFieldParser.parse(line));
        if (headers.size() > limits.maxHeaders()) {
            throw new HttpParseException(431, "more than " + limits.maxHeaders() + " headers");
        }
    }

    // ---- Framing of the body ----

    /**
     * Determines how the body is framed, by RFC 9112 section 6.3 without its leniency towards
     * invalid messages.
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
        int codingHeaders = head.headerCount("transfer-encoding");
        int lengthHeaders = head.headerCount("content-length");
        checkFramingHeaders(head, codingHeaders, lengthHeaders);
        boolean isChunked = codingHeaders > 0;
        if (isChunked) {
            state = State.CHUNK_SIZE;
        } else if (lengthHeaders > 0) {
            remainingBytes =
                    LengthParser.contentLength(
                            head.singleHeader("content-length"), limits.maxBodyBytes());
            state = State.FIXED_BODY;
        } else if (side == Side.RESPONSES && !isBodiless()) {
            state = State.BODY_UNTIL_END; // RFC 9112 section 6.3, case 8
            return false;
        }
        boolean hasBody = isChunked || remainingBytes > 0;
        if (hasBody && isBodiless()) {
            throw new HttpParseException(
                    400, "unexpected body in a response with status " + startLine.status());
        }
        String expect = head.singleHeader("expect");
        isContinueExpected = hasBody && "100-continue".equalsIgnoreCase(expect);
        return !hasBody;
    }

    /** Returns whether the message is a response whose status never has a body. */
    private boolean isBodiless() {
        int status = startLine.status();
        return side == Side.RESPONSES && (status == 204 || status == 304);
    }

    private void checkHost(HttpMessage head) throws HttpParseException {
        if (side == Side.REQUESTS && head.headerCount("host") != 1) {
            throw new HttpParseException(
                    400, "request does not have exactly one Host header (RFC 9112 section 3.2)");
        }
    }

    private static void checkFramingHeaders(HttpMessage head, int codingHeaders, int lengthHeaders)
            throws HttpParseException {
        if (lengthHeaders > 0 && codingHeaders > 0) {
            throw new HttpParseException(
                    400, "message has both Content-Length and Transfer-Encoding");
        }
        if (lengthHeaders > 1 || codingHeaders > 1) {
            throw new HttpParseException(
                    400, "message has more than one Content-Length or Transfer-Encoding");
        }
        if (codingHeaders > 0
                && !head.singleHeader("transfer-encoding").equalsIgnoreCase("chunked")) {
            throw new HttpParseException(
                    501, "transfer coding other than chunked is not supported");
        }
    }

    /** Skips an interim response (RFC 9110 section 15.2); their number is limited. */
    private void skipInterimResponse() throws HttpParseException {
        interimResponses++;
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            throw new HttpParseException(
                    400, "more than " + MAX_INTERIM_RESPONSES + " interim responses");
        }
        headers = new ArrayList<>();
        headBytes = 0;
        state = State.START_LINE;
    }

    // ---- The body ----

    private void parseChunkSize() throws HttpParseException {
        int size = LengthParser.chunkSize(line, limits.maxBodyBytes());
        if (body.length() + size > limits.maxBodyBytes()) {
            throw LengthParser.bodyTooLong(limits.maxBodyBytes());
        }
        remainingBytes = size;
        state = size == 0 ? State.TRAILER : State.CHUNK_DATA;
    }

    private void endChunk(boolean isEmpty) throws HttpParseException {
        if (!isEmpty) {
            throw new HttpParseException(400, "chunk data is longer than the chunk size");
        }
        state = State.CHUNK_SIZE;
    }

    /** Reads data of a chunk. Returns false, since a chunk never completes a message. */
    private boolean readChunk(ByteBuffer in) throws HttpParseException {
        int received = Math.min(remainingBytes, in.remaining());
        if (readBody(in, body.length() + received)) {
            state = State.CHUNK_END;
        }
        return false;
    }

    /**
     * Reads data of a body that ends with the connection. Returns false, since only that end
     * completes it.
     */
    private boolean readUntilEnd(ByteBuffer in) throws HttpParseException {
        if (body.length() + in.remaining() > limits.maxBodyBytes()) {
            throw LengthParser.bodyTooLong(limits.maxBodyBytes());
        }
        remainingBytes = in.remaining();
        readBody(in, limits.maxBodyBytes());
        return false;
    }

    /** Reads the available part of a body or chunk and returns whether it is complete. */
    private boolean readBody(ByteBuffer in, int expectedLength) throws HttpParseException {
        int received = Math.min(remainingBytes, in.remaining());
        body.append(in, received, expectedLength);
        remainingBytes -= received;
        return remainingBytes == 0;
    }

    // ---- The message ----

    private HttpMessage message(byte[] content) {
        return new HttpMessage(
                startLine.method(),
                startLine.target(),
                startLine.status(),
                headers,
                content,
                body.isOmitted());
    }

    private HttpMessage finishMessage() {
        HttpMessage message = message(body.toArray());
        state = State.START_LINE;
        headBytes = 0;
        interimResponses = 0;
        hasSkippedEmptyLine = false;
        startLine.clear();
        headers = new ArrayList<>();
        body.discard();
        isContinueExpected = false;
        line.shrink();
        return message;
    }
}
