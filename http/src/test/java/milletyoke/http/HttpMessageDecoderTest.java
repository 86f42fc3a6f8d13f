package milletyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which messages the decoder accepts and rejects, and that the result does not depend on how
 * the input is divided into pieces.
 */
class HttpMessageDecoderTest {
    private static final String REQUEST_HEAD = "PUT /api?a=b HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\n";
    private static final HttpMessageDecoder.Limits SMALL_LIMITS =
            new HttpMessageDecoder.Limits(512, 16, 64);

    private static final List<String> REQUESTS =
            List.of(
                    REQUEST_HEAD + "Content-Length: 5\r\n\r\nhello",
                    REQUEST_HEAD
                            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n",
                    REQUEST_HEAD + "\r\n",
                    "\r\n" + REQUEST_HEAD + "\r\n",
                    REQUEST_HEAD + "\r\n" + REQUEST_HEAD + "Content-Length: 1\r\n\r\nx",
                    REQUEST_HEAD + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
                    REQUEST_HEAD + "Content-Length: 65\r\n\r\n",
                    "GET  /api HTTP/1.1\r\n\r\n",
                    "GET /api HTTP/1.0\r\nHost: a\r\n\r\n",
                    REQUEST_HEAD + "No colon\r\n\r\n",
                    REQUEST_HEAD + "X-Long: " + "y".repeat(600) + "\r\n\r\n");
    private static final List<String> RESPONSES =
            List.of(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nA: b\r\n\r\n"
                            + "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\n\r\nbody",
                    "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nx",
                    "noise",
                    "HTTP/1.1 2x0 OK\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");

    /**
     * Decodes the input in pieces that end at {@code cuts}, and describes all messages and errors.
     */
    private static String decodeInPieces(HttpMessageDecoder decoder, byte[] input, int... cuts) {
        StringBuilder description = new StringBuilder();
        int from = 0;
        try {
            for (int i = 0; i <= cuts.length; i++) {
                int to = i < cuts.length ? cuts[i] : input.length;
                ByteBuffer piece = ByteBuffer.wrap(input, from, to - from);
                for (HttpMessage message = decoder.decode(piece);
                        message != null;
                        message = decoder.decode(piece)) {
                    description
                            .append(message.method())
                            .append(message.target())
                            .append(message.status())
                            .append(message.headers())
                            .append(new String(message.body(), StandardCharsets.ISO_8859_1))
                            .append('|');
                }
                from = to;
            }
        } catch (HttpParseException rejected) {
            description.append(rejected.status()).append(rejected.getMessage());
        }
        boolean isPartial = decoder.isPartial();
        HttpMessage last = isPartial ? decoder.endOfInput() : null;
        return description
                .append(isPartial ? " partial" : "")
                .append(
                        last == null
                                ? ""
                                : " ended "
                                        + last.status()
                                        + new String(last.body(), StandardCharsets.ISO_8859_1))
                .toString();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    void messagesDoNotDependOnHowTheInputIsCut() {
        int comparisons = 0;
        for (HttpMessageDecoder.Side side : HttpMessageDecoder.Side.values()) {
            for (String sample : side == HttpMessageDecoder.Side.REQUESTS ? REQUESTS : RESPONSES) {
                byte[] input = bytes(sample);
                String expected = decodeInPieces(new HttpMessageDecoder(side, SMALL_LIMITS), input);
                int[] allCuts = new int[input.length - 1];
                for (int i = 0; i < allCuts.length; i++) {
                    allCuts[i] = i + 1;
                    assertEquals(
                            expected,
                            decodeInPieces(
                                    new HttpMessageDecoder(side, SMALL_LIMITS), input, i + 1),
                            sample + " cut at " + (i + 1));
                    comparisons++;
                }
                assertEquals(
                        expected,
                        decodeInPieces(new HttpMessageDecoder(side, SMALL_LIMITS), input, allCuts),
                        sample + " byte by byte");
            }
        }
        assertTrue(comparisons > 1000);
    }

    /**
     * Mutated samples give the same result for any two cuts: messages or an {@link
     * HttpParseException}, and no other exception.
     */
    @Property(tries = 3000, seed = "20261201")
    void mutatedInputIsDecodedOrRejected(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int mutations) {
        SplittableRandom random = new SplittableRandom(seed);
        HttpMessageDecoder.Side side =
                random.nextBoolean()
                        ? HttpMessageDecoder.Side.REQUESTS
                        : HttpMessageDecoder.Side.RESPONSES;
        List<String> samples = side == HttpMessageDecoder.Side.REQUESTS ? REQUESTS : RESPONSES;
        byte[] input =
                bytes(
                        samples.get(random.nextInt(samples.size()))
                                + samples.get(random.nextInt(samples.size())));
        for (int i = 0; i < mutations; i++) {
            input[random.nextInt(input.length)] =
                    (byte)
                            (random.nextBoolean()
                                    ? random.nextInt(256)
                                    : "\r\n :0,9".charAt(random.nextInt(7)));
        }
        int firstCut = random.nextInt(input.length);
        int secondCut = firstCut + random.nextInt(input.length - firstCut);
        assertEquals(
                decodeInPieces(new HttpMessageDecoder(side, SMALL_LIMITS), input),
                decodeInPieces(
                        new HttpMessageDecoder(side, SMALL_LIMITS), input, firstCut, secondCut));
    }

    /**
     * RFC 9112 section 6.3, case 8: the body lasts until the end of input, and the body limit
     * applies to it as to any other.
     */
    @Test
    void aResponseWithoutALengthLastsUntilTheEndOfInput() throws Exception {
        HttpMessageDecoder decoder =
                new HttpMessageDecoder(HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS);
        assertNull(decoder.decode(ByteBuffer.wrap(bytes("HTTP/1.1 200 OK\r\n\r\nhalf"))));
        assertTrue(decoder.isPartial());
        assertNull(decoder.decode(ByteBuffer.wrap(bytes(" and whole"))));
        assertEquals(
                "half and whole",
                new String(decoder.endOfInput().body(), StandardCharsets.ISO_8859_1));
        for (String incomplete :
                List.of(
                        "",
                        "HTTP/1.1 200 OK\r\n",
                        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                        "HTTP/1.1 103 Early\r\n\r\n")) {
            HttpMessageDecoder other =
                    new HttpMessageDecoder(HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS);
            assertNull(other.decode(ByteBuffer.wrap(bytes(incomplete))));
            assertNull(other.endOfInput(), "incomplete: " + incomplete);
        }
        HttpMessageDecoder endless =
                new HttpMessageDecoder(HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS);
        assertNull(
                endless.decode(ByteBuffer.wrap(bytes("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(64)))));
        assertThrows(HttpParseException.class, () -> endless.decode(ByteBuffer.wrap(bytes("x"))));
    }

    static Stream<String> ambiguousHeads() {
        return Stream.of(
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
                "Content-Length: 5, 5\r\n\r\n",
                "Content-Length: +5\r\n\r\n",
                "Content-Length: -5\r\n\r\n",
                "Content-Length: 5 \t5\r\n\r\n",
                "Content-Length: 0x5\r\n\r\n",
                "Content-Length: \r\n\r\n",
                "Content-Length : 5\r\n\r\n",
                "Content-Length: 99999999999999999999\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
                "Transfer-Encoding: xchunked\r\n\r\n",
                "X: a\r\n folded\r\n\r\n",
                "X: a\nY: b\r\n\r\n",
                "X: a\rb\r\n\r\n",
                "X: a\0b\r\n\r\n",
                "Host: b\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\n",
                "Transfer-Encoding: chunked\r\n\r\n-5\r\n",
                "Transfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n",
                "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFF\r\n");
    }

    @ParameterizedTest
    @MethodSource("ambiguousHeads")
    void ambiguousRequestsAreRejected(String remainder) {
        String result =
                decodeInPieces(
                        new HttpMessageDecoder(
                                HttpMessageDecoder.Side.REQUESTS,
                                HttpMessageDecoder.Limits.DEFAULT),
                        bytes(REQUEST_HEAD + remainder));
        assertTrue(result.matches("(?s)(400|413|501).*"), result);
    }

    @ParameterizedTest
    @ValueSource(strings = {"\u0016\u0003\u0001", "HTTQ", "HTTP/1.0 200 OK", "\n", "200 OK"})
    void anInvalidStatusLineIsRejectedAtItsFirstWrongByte(String input) {
        assertTrue(
                decodeInPieces(
                                new HttpMessageDecoder(
                                        HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS),
                                bytes(input))
                        .startsWith("400"));
    }

    @Test
    void anEndlessHeadIsRejectedAtItsLimit() throws HttpParseException {
        HttpMessageDecoder decoder =
                new HttpMessageDecoder(HttpMessageDecoder.Side.REQUESTS, SMALL_LIMITS);
        int status = 0;
        assertNull(decoder.decode(ByteBuffer.wrap(bytes(REQUEST_HEAD))));
        for (int i = 0; i < 600 && status == 0; i++) {
            try {
                assertNull(
                        decoder.decode(
                                ByteBuffer.wrap(
                                        bytes(
                                                i % 50 == 0
                                                        ? "X"
                                                        : i % 50 == 1
                                                                ? ":"
                                                                : i % 50 == 48
                                                                        ? "\r"
                                                                        : i % 50 == 49
                                                                                ? "\n"
                                                                                : "y"))));
            } catch (HttpParseException rejected) {
                status = rejected.status();
            }
        }
        assertEquals(431, status);
    }

    @Test
    void interimResponsesAreSkippedUpToALimit() {
        String interim = "HTTP/1.1 100 Continue\r\n\r\n";
        String finalResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        assertTrue(
                decodeInPieces(
                                new HttpMessageDecoder(
                                        HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS),
                                bytes(interim.repeat(16) + finalResponse))
                        .startsWith("200"));
        assertTrue(
                decodeInPieces(
                                new HttpMessageDecoder(
                                        HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS),
                                bytes(interim.repeat(17) + finalResponse))
                        .startsWith("400"));
    }

    @Test
    void aTooLongBodyIsRejectedAtItsHead() {
        String result =
                decodeInPieces(
                        new HttpMessageDecoder(
                                HttpMessageDecoder.Side.REQUESTS,
                                HttpMessageDecoder.Limits.DEFAULT),
                        bytes(REQUEST_HEAD + "Content-Length: 62914560\r\n\r\n"));
        assertTrue(result.startsWith("413"), result);
    }

    /** Many peers each send most of a body and then stop: together they use at most the budget. */
    @Test
    void incompleteBodiesShareABudget() throws HttpParseException {
        SharedByteBudget budget = new SharedByteBudget(200 * 1024);
        byte[] incompleteRequest =
                bytes(REQUEST_HEAD + "Content-Length: 65536\r\n\r\n" + "x".repeat(60 * 1024));
        List<HttpMessageDecoder> decoders = new ArrayList<>();
        int rejections = 0;
        for (int i = 0; i < 100; i++) {
            HttpMessageDecoder decoder =
                    new HttpMessageDecoder(
                            HttpMessageDecoder.Side.REQUESTS,
                            HttpMessageDecoder.Limits.DEFAULT,
                            budget);
            decoders.add(decoder);
            try {
                assertNull(decoder.decode(ByteBuffer.wrap(incompleteRequest)));
            } catch (HttpParseException rejected) {
                assertEquals(
                        503,
                        rejected.status(),
                        "the request was not processed and is safe to retry");
                rejections++;
            }
        }
        assertEquals(97, rejections);
        decoders.forEach(HttpMessageDecoder::discard);
        assertTrue(budget.tryAcquire(200 * 1024), "the whole budget was released");
    }

    @Test
    void continueIsExpectedOnce() throws HttpParseException {
        HttpMessageDecoder decoder =
                new HttpMessageDecoder(HttpMessageDecoder.Side.REQUESTS, SMALL_LIMITS);
        assertNull(
                decoder.decode(
                        ByteBuffer.wrap(
                                bytes(
                                        REQUEST_HEAD
                                                + "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n"))));
        List<Boolean> expectations =
                new ArrayList<>(
                        List.of(decoder.takeContinueExpected(), decoder.takeContinueExpected()));
        assertEquals(List.of(true, false), expectations);
    }
}
