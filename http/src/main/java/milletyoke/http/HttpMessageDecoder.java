package milletyoke.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * The one parser, for both ends: bytes in whatever pieces they come, whole messages out. Strict:
 * what RFC 9112 lets a receiver guess at is refused, for two that guess otherwise would see
 * different messages in the same bytes (section 11.2). A line that cannot be right is refused as it
 * ends, and a start that cannot be right at its first wrong byte. Keeps no more than a head, and of
 * a body what has come of it.
 */
public final class HttpMessageDecoder {
    /** Whose messages are read. */
    public enum Side {
        REQUESTS,
        RESPONSES
    }

    /**
     * What one message may take.
     *
     * @param head bytes of the start line and all fields, those of a trailer too
     * @param fields lines
     * @param body bytes
     */
    public record Limits(int head, int fields, int body) {
        /**
         * A body of 64 KiB is the most that the platform sends; a head of its own is a tenth of
         * this.
         */
        public static final Limits DEFAULT = new Limits(8 * 1024, 64, 64 * 1024);
    }

    private enum At {
        START,
        FIELDS,
        BODY,
        UNTIL_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER
    }

    private static final byte[] VERSION = "HTTP/1.1 ".getBytes(StandardCharsets.US_ASCII);
    private static final int LONGEST_METHOD = 16, MOST_INTERIM = 16, LONGEST_SIZE = 8;
    private static final byte[] EMPTY = {};

    /**
     * What a body may take beside the allowance: most of them, and so little that all connections
     * together can.
     */
    private static final int ALONE = 2 * 1024;

    private final Side side;
    private final Limits limits;
    private At at = At.START;
    private byte[] line = new byte[128];
    private int length;
    private boolean afterReturn;
    private int headBytes;
    private int interim;
    private boolean blankSeen;
    private String method = "", target = "";
    private int status;
    private List<HttpMessage.HeaderField> fields = new ArrayList<>();
    private byte[] body = EMPTY;
    private int bodyLength;

    /** Bytes still to come of the body, or of the chunk. */
    private int left;

    private boolean continueOwed;
    private boolean malformed;

    /**
     * What bodies take of together beyond {@link #ALONE} each; null where they may be as long as
     * the limits say.
     */
    private final SharedByteBudget allowance;

    private int taken;

    public HttpMessageDecoder(Side side, Limits limits) {
        this(side, limits, null);
    }

    /**
     * @param allowance for the room of bodies beyond the first 2 KiB; {@link #discard} gives it
     *     back
     */
    public HttpMessageDecoder(Side side, Limits limits, SharedByteBudget allowance) {
        this.side = side;
        this.limits = limits;
        this.allowance = allowance;
    }

    /** To be called when nothing more will be fed. */
    public void discard() {
        if (taken > 0) {
            allowance.release(taken);
            taken = 0;
        }
        body = EMPTY;
        bodyLength = 0;
    }

    /** Whether part of a message has come. */
    public boolean isPartial() {
        return at != At.START || length > 0 || afterReturn || interim > 0;
    }

    /** True once for a request that waits to be told to go on (RFC 9110 section 10.1.1). */
    public boolean takeContinueExpected() {
        boolean owed = continueOwed;
        continueOwed = false;
        return owed;
    }

    /**
     * Takes bytes up to the end of a message, and no further.
     *
     * @return null where more must come
     * @throws Malformed where the connection is of no further use; nothing more may be fed
     */
    public HttpMessage decode(ByteBuffer in) throws HttpParseException {
        try {
            return next(in);
        } catch (HttpParseException bad) {
            malformed = true;
            throw bad;
        }
    }

    private HttpMessage next(ByteBuffer in) throws HttpParseException {
        while (in.hasRemaining()) {
            if (at == At.UNTIL_END) {
                untilEnd(in);
            } else if (at == At.BODY || at == At.CHUNK) {
                body(in);
                if (left > 0) {
                    return null;
                }
                if (at == At.BODY) {
                    return finished();
                }
                at = At.CHUNK_END;
            } else if (byteOfLine(in.get()) && endOfLine()) {
                return finished();
            }
        }
        return null;
    }

    /**
     * To be called once the peer has ended its sending, and not where the connection was reset:
     * that is no end (RFC 9112 section 8).
     *
     * @return the answer that was to last until then; null where there is none, or it is not whole
     */
    public HttpMessage endOfInput() {
        return at == At.UNTIL_END && !malformed ? finished() : null;
    }

    /** Adds one byte to the line; true where it ended the line. */
    private boolean byteOfLine(byte b) throws HttpParseException {
        if (++headBytes > limits.head()) {
            throw new HttpParseException(431, "a head of over " + limits.head() + " bytes");
        }
        if (afterReturn) {
            if (b != '\n') {
                throw new HttpParseException(400, "a carriage return alone");
            }
            afterReturn = false;
            return true;
        }
        if (b == '\r') {
            afterReturn = true;
            return false;
        }
        if (b >= 0 && b < ' ' && b != '\t' || b == 0x7f) {
            throw new HttpParseException(400, "a control character in a head");
        }
        if (length == line.length) {
            line = Arrays.copyOf(line, 2 * line.length);
        }
        line[length++] = b;
        checkStart(b);
        return false;
    }

    /** Noise shows at its first byte: who sends it and then nothing is not waited for. */
    private void checkStart(byte b) throws HttpParseException {
        if (at != At.START) {
            return;
        }
        if (side == Side.RESPONSES) {
            if (length <= VERSION.length && b != VERSION[length - 1]) {
                throw new HttpParseException(400, "no answer of HTTP/1.1");
            }
        } else if (b < 0 || b == '\t') {
            throw new HttpParseException(
                    400, "a request line holds visible characters of ASCII alone");
        } else if (length <= LONGEST_METHOD + 1 && !isToken(b) && spaces() == 0) {
            throw new HttpParseException(400, "no method");
        } else if (length == LONGEST_METHOD + 1 && spaces() == 0) {
            throw new HttpParseException(501, "a method of over " + LONGEST_METHOD + " characters");
        }
    }

    private int spaces() {
        int n = 0;
        for (int i = 1; i < length; i++) {
            n += line[i] == ' ' ? 1 : 0;
        }
        return n;
    }

    /** Acts on a whole line; true where the message is complete. */
    private boolean endOfLine() throws HttpParseException {
        int end = length;
        length = 0;
        switch (at) {
            case START -> {
                if (end == 0) {
                    blankLine();
                } else if (side == Side.REQUESTS) {
                    requestLine(text(0, end));
                } else {
                    statusLine(text(0, end));
                }
                return false;
            }
            case FIELDS -> {
                return end == 0 ? headEnded() : field(end);
            }
            case CHUNK_SIZE -> chunkSize(end);
            case CHUNK_END -> {
                if (end != 0) {
                    throw new HttpParseException(400, "a chunk that is longer than it says");
                }
                at = At.CHUNK_SIZE;
            }
            case TRAILER -> {
                return end == 0 || trailer(end);
            }
            default -> throw new IllegalStateException("a line ended at " + at);
        }
        return false;
    }

    /** One empty line ahead of a request is borne (RFC 9112 section 2.2). */
    private void blankLine() throws HttpParseException {
        if (side == Side.RESPONSES || blankSeen) {
            throw new HttpParseException(400, "an empty line in place of a start line");
        }
        blankSeen = true;
        headBytes = 0;
    }

    private void requestLine(String text) throws HttpParseException {
        int first = text.indexOf(' ');
        int last = text.lastIndexOf(' ');
        if (first < 1
                || last == first
                || text.indexOf(' ', first + 1) != last
                || last == first + 1) {
            throw new HttpParseException(
                    400, "a request line that is not method, target and version");
        }
        String version = text.substring(last + 1);
        if (!version.equals("HTTP/1.1")) {
            throw new HttpParseException(
                    version.matches("HTTP/[0-9]\\.[0-9]") ? 505 : 400, "HTTP/1.1 is spoken here");
        }
        method = text.substring(0, first);
        target = text.substring(first + 1, last);
        at = At.FIELDS;
    }

    private void statusLine(String text) throws HttpParseException {
        int from = VERSION.length;
        boolean shaped =
                text.length() >= from + 3
                        && (text.length() == from + 3 || text.charAt(from + 3) == ' ');
        for (int i = from; shaped && i < from + 3; i++) {
            shaped = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        status = shaped ? Integer.parseInt(text.substring(from, from + 3)) : 0;
        if (status < 100 || status > 599 || status == 101) {
            throw new HttpParseException(400, "a status line without a status that can be meant");
        }
        at = At.FIELDS;
    }

    private boolean field(int end) throws HttpParseException {
        fields.add(readField(end));
        if (fields.size() > limits.fields()) {
            throw new HttpParseException(431, "over " + limits.fields() + " fields");
        }
        return false;
    }

    private HttpMessage.HeaderField readField(int end) throws HttpParseException {
        int colon = 0;
        while (colon < end && line[colon] != ':') {
            if (!isToken(line[colon])) {
                throw new HttpParseException(400, "a field name with a character that none has");
            }
            colon++;
        }
        if (colon == 0 || colon == end) {
            throw new HttpParseException(400, "a line that is no field");
        }
        int from = colon + 1;
        int to = end;
        while (from < to && (line[from] == ' ' || line[from] == '\t')) {
            from++;
        }
        while (to > from && (line[to - 1] == ' ' || line[to - 1] == '\t')) {
            to--;
        }
        String sent = text(0, colon);
        return new HttpMessage.HeaderField(sent.toLowerCase(Locale.ROOT), text(from, to), sent);
    }

    /** How the body is framed (RFC 9112 section 6.3), without its last resorts. */
    private boolean headEnded() throws HttpParseException {
        HttpMessage head = new HttpMessage(method, target, status, fields, EMPTY);
        if (side == Side.RESPONSES && status < 200) {
            return nextAnswer();
        }
        if (side == Side.REQUESTS && head.headerCount("host") != 1) {
            throw new HttpParseException(
                    400, "a request names its host once (RFC 9112 section 3.2)");
        }
        int lengths = head.headerCount("content-length");
        int codings = head.headerCount("transfer-encoding");
        if (lengths > 0 && codings > 0) {
            throw new HttpParseException(400, "both Content-Length and Transfer-Encoding");
        }
        if (lengths > 1 || codings > 1) {
            throw new HttpParseException(400, "its framing is told twice");
        }
        if (codings == 1) {
            if (!head.singleHeader("transfer-encoding").equalsIgnoreCase("chunked")) {
                throw new HttpParseException(501, "chunked is the only transfer coding taken");
            }
            at = At.CHUNK_SIZE;
        } else if (lengths == 1) {
            left = length(head.singleHeader("content-length"));
            at = At.BODY;
        } else if (side == Side.RESPONSES && status != 204 && status != 304) {
            at = At.UNTIL_END; // it lasts until its connection ends (RFC 9112 section 6.3, case 8)
            return false;
        }
        boolean bare = side == Side.RESPONSES && (status == 204 || status == 304);
        if (bare && (codings > 0 || left > 0)) {
            throw new HttpParseException(400, "a body where none can be");
        }
        String expects = head.singleHeader("expect");
        continueOwed =
                expects != null
                        && expects.equalsIgnoreCase("100-continue")
                        && (codings > 0 || left > 0);
        return codings == 0 && left == 0;
    }

    /** An interim answer is skipped (RFC 9110 section 15.2); so many and no more. */
    private boolean nextAnswer() throws HttpParseException {
        if (++interim > MOST_INTERIM) {
            throw new HttpParseException(400, "over " + MOST_INTERIM + " interim answers");
        }
        fields = new ArrayList<>();
        headBytes = 0;
        at = At.START;
        return false;
    }

    private int length(String text) throws HttpParseException {
        boolean digits = !text.isEmpty();
        for (int i = 0; i < text.length(); i++) {
            digits &= text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!digits) {
            throw new HttpParseException(400, "a length that is no number");
        }
        if (text.length() > 9 || Integer.parseInt(text) > limits.body()) {
            String told = text.length() > 20 ? text.substring(0, 20) + "..." : text;
            throw new HttpParseException(
                    413, "a body of " + told + " bytes, " + limits.body() + " are the most");
        }
        return Integer.parseInt(text);
    }

    private void chunkSize(int end) throws HttpParseException {
        int digits = 0;
        int size = 0;
        while (digits < end && Character.digit(line[digits], 16) >= 0) {
            if (++digits > LONGEST_SIZE) {
                throw new HttpParseException(
                        400, "a chunk's size of over " + LONGEST_SIZE + " digits");
            }
            long next = 16L * size + Character.digit(line[digits - 1], 16);
            if (next > limits.body()) {
                throw new HttpParseException(413, "a body of over " + limits.body() + " bytes");
            }
            size = (int) next;
        }
        if (digits == 0 || digits < end) { // an extension means nothing here, and hides much
            throw new HttpParseException(400, "a chunk's size that is no number");
        }
        if (bodyLength + size > limits.body()) {
            throw new HttpParseException(413, "a body of over " + limits.body() + " bytes");
        }
        left = size;
        at = size == 0 ? At.TRAILER : At.CHUNK;
    }

    private boolean trailer(int end) throws HttpParseException {
        readField(end);
        return false;
    }

    private void untilEnd(ByteBuffer in) throws HttpParseException {
        if (bodyLength + in.remaining() > limits.body()) {
            throw new HttpParseException(413, "a body of over " + limits.body() + " bytes");
        }
        left = in.remaining();
        body(in);
    }

    /** Room grows with what came, not with what was announced. */
    private void body(ByteBuffer in) throws HttpParseException {
        int some = Math.min(left, in.remaining());
        if (bodyLength + some > body.length) {
            int whole =
                    at == At.BODY
                            ? bodyLength + left
                            : at == At.UNTIL_END ? limits.body() : bodyLength + some;
            int room = Math.min(whole, Math.max(bodyLength + some, 2 * body.length));
            int beyond = allowance == null ? 0 : Math.max(0, room - ALONE) - taken;
            if (beyond > 0 && !allowance.tryAcquire(beyond)) {
                throw new HttpParseException(
                        503,
                        "no room for a body of "
                                + (bodyLength + left)
                                + " bytes beside the others");
            }
            taken += Math.max(0, beyond);
            body = Arrays.copyOf(body, room);
        }
        in.get(body, bodyLength, some);
        bodyLength += some;
        left -= some;
    }

    private HttpMessage finished() {
        byte[] whole = bodyLength == body.length ? body : Arrays.copyOf(body, bodyLength);
        HttpMessage message = new HttpMessage(method, target, status, fields, whole);
        at = At.START;
        headBytes = 0;
        interim = 0;
        blankSeen = false;
        method = "";
        target = "";
        status = 0;
        fields = new ArrayList<>();
        discard();
        continueOwed = false;
        line = line.length > 1024 ? new byte[128] : line;
        return message;
    }

    private String text(int from, int to) {
        return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** RFC 9110 section 5.6.2. */
    static boolean isToken(byte b) {
        return b >= '0' && b <= '9'
                || b >= 'a' && b <= 'z'
                || b >= 'A' && b <= 'Z'
                || b > ' ' && "!#$%&'*+-.^_`|~".indexOf(b) >= 0;
    }
}
