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
 * What the decoder accepts and rejects, and that the result does not depend on how its input is
 * cut.
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
     * Describes all messages and errors of the input, decoded in pieces that end at {@code cuts}.
     */
    private static String decodeInPieces(HttpMessageDecoder decoder, byte[] input, int... cuts) {
        StringBuilder all = new StringBuilder();
        int from = 0;
        try {
            for (int i = 0; i <= cuts.length; i++) {
                int to = i < cuts.length ? cuts[i] : input.length;
                ByteBuffer piece = ByteBuffer.wrap(input, from, to - from);
                for (HttpMessage message = decoder.decode(piece);
                        message != null;
                        message = decoder.decode(piece)) {
                    all.append(message.method())
                            .append(message.target())
                            .append(message.status())
                            .append(message.headers())
                            .append(new String(message.body(), StandardCharsets.ISO_8859_1))
                            .append('|');
                }
                from = to;
            }
        } catch (HttpParseException bad) {
            all.append(bad.status()).append(bad.getMessage());
        }
        boolean partial = decoder.isPartial();
        HttpMessage last = partial ? decoder.endOfInput() : null;
        return all.append(partial ? " partial" : "")
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
        int compared = 0;
        for (HttpMessageDecoder.Side side : HttpMessageDecoder.Side.values()) {
            for (String sample : side == HttpMessageDecoder.Side.REQUESTS ? REQUESTS : RESPONSES) {
                byte[] input = bytes(sample);
                String whole = decodeInPieces(new HttpMessageDecoder(side, SMALL_LIMITS), input);
                int[] each = new int[input.length - 1];
                for (int i = 0; i < each.length; i++) {
                    each[i] = i + 1;
                    assertEquals(
                            whole,
                            decodeInPieces(
                                    new HttpMessageDecoder(side, SMALL_LIMITS), input, i + 1),
                            sample + " cut at " + (i + 1));
                    compared++;
                }
                assertEquals(
                        whole,
                        decodeInPieces(new HttpMessageDecoder(side, SMALL_LIMITS), input, each),
                        sample + " byte by byte");
            }
        }
        assertTrue(compared > 1000);
    }

    /**
     * Mutated samples give the same result for any two cuts, and nothing but messages or an {@link
     * HttpParseException}.
     */
    @Property(tries = 3000, seed = "20261201")
    void mutatedInputIsDecodedOrRejected(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int changes) {
        SplittableRandom chance = new SplittableRandom(seed);
        HttpMessageDecoder.Side side =
                chance.nextBoolean()
                        ? HttpMessageDecoder.Side.REQUESTS
                        : HttpMessageDecoder.Side.RESPONSES;
        List<String> samples = side == HttpMessageDecoder.Side.REQUESTS ? REQUESTS : RESPONSES;
        byte[] input =
                bytes(
                        samples.get(chance.nextInt(samples.size()))
                                + samples.get(chance.nextInt(samples.size())));
        for (int i = 0; i < changes; i++) {
            input[chance.nextInt(input.length)] =
                    (byte)
                            (chance.nextBoolean()
                                    ? chance.nextInt(256)
                                    : "\r\n :0,9".charAt(chance.nextInt(7)));
        }
        int a = chance.nextInt(input.length);
        int b = a + chance.nextInt(input.length - a);
        assertEquals(
                decodeInPieces(new HttpMessageDecoder(side, SMALL_LIMITS), input),
                decodeInPieces(new HttpMessageDecoder(side, SMALL_LIMITS), input, a, b));
    }

    /**
     * RFC 9112 section 6.3, case 8: the body is as long as the input, within the limit of any body.
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
        for (String unfinished :
                List.of(
                        "",
                        "HTTP/1.1 200 OK\r\n",
                        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                        "HTTP/1.1 103 Early\r\n\r\n")) {
            HttpMessageDecoder other =
                    new HttpMessageDecoder(HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS);
            assertNull(other.decode(ByteBuffer.wrap(bytes(unfinished))));
            assertNull(other.endOfInput(), "not whole: " + unfinished);
        }
        HttpMessageDecoder endless =
                new HttpMessageDecoder(HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS);
        assertNull(
                endless.decode(ByteBuffer.wrap(bytes("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(64)))));
        assertThrows(HttpParseException.class, () -> endless.decode(ByteBuffer.wrap(bytes("x"))));
    }

    static Stream<String> ambiguous() {
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
    @MethodSource("ambiguous")
    void ambiguousRequestsAreRejected(String rest) {
        String told =
                decodeInPieces(
                        new HttpMessageDecoder(
                                HttpMessageDecoder.Side.REQUESTS,
                                HttpMessageDecoder.Limits.DEFAULT),
                        bytes(REQUEST_HEAD + rest));
        assertTrue(told.matches("(?s)(400|413|501).*"), told);
    }

    @ParameterizedTest
    @ValueSource(strings = {"\u0016\u0003\u0001", "HTTQ", "HTTP/1.0 200 OK", "\n", "200 OK"})
    void anInvalidStatusLineIsRejectedAtItsFirstWrongByte(String noise) {
        assertTrue(
                decodeInPieces(
                                new HttpMessageDecoder(
                                        HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS),
                                bytes(noise))
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
            } catch (HttpParseException bad) {
                status = bad.status();
            }
        }
        assertEquals(431, status);
    }

    @Test
    void interimResponsesAreSkippedUpToALimit() {
        String interim = "HTTP/1.1 100 Continue\r\n\r\n";
        String end = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        assertTrue(
                decodeInPieces(
                                new HttpMessageDecoder(
                                        HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS),
                                bytes(interim.repeat(16) + end))
                        .startsWith("200"));
        assertTrue(
                decodeInPieces(
                                new HttpMessageDecoder(
                                        HttpMessageDecoder.Side.RESPONSES, SMALL_LIMITS),
                                bytes(interim.repeat(17) + end))
                        .startsWith("400"));
    }

    @Test
    void aTooLongBodyIsRejectedAtItsHead() {
        String told =
                decodeInPieces(
                        new HttpMessageDecoder(
                                HttpMessageDecoder.Side.REQUESTS,
                                HttpMessageDecoder.Limits.DEFAULT),
                        bytes(REQUEST_HEAD + "Content-Length: 62914560\r\n\r\n"));
        assertTrue(told.startsWith("413"), told);
    }

    /** Many peers each send most of a body and stop: together they get no more than the budget. */
    @Test
    void incompleteBodiesShareABudget() throws HttpParseException {
        SharedByteBudget allowance = new SharedByteBudget(200 * 1024);
        byte[] most = bytes(REQUEST_HEAD + "Content-Length: 65536\r\n\r\n" + "x".repeat(60 * 1024));
        List<HttpMessageDecoder> stopped = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < 100; i++) {
            HttpMessageDecoder decoder =
                    new HttpMessageDecoder(
                            HttpMessageDecoder.Side.REQUESTS,
                            HttpMessageDecoder.Limits.DEFAULT,
                            allowance);
            stopped.add(decoder);
            try {
                assertNull(decoder.decode(ByteBuffer.wrap(most)));
            } catch (HttpParseException full) {
                assertEquals(503, full.status(), "trying again is harmless: it was never taken");
                refused++;
            }
        }
        assertEquals(97, refused);
        stopped.forEach(HttpMessageDecoder::discard);
        assertTrue(allowance.tryAcquire(200 * 1024), "all of it came back");
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
        List<Boolean> owed =
                new ArrayList<>(
                        List.of(decoder.takeContinueExpected(), decoder.takeContinueExpected()));
        assertEquals(List.of(true, false), owed);
    }
}
