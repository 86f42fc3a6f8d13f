package milletyoke.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import milletyoke.wire.capture.CaptureWriter;
import milletyoke.wire.capture.CapturedTraffic;
import milletyoke.wire.proto.Request;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that a traffic capture is read as written, up to the point where it is truncated or
 * damaged.
 */
class CaptureTest {
    @TempDir Path folder;

    private Path writeCapture(int blockCount, int requestsPerBlock) throws IOException {
        Path file = folder.resolve("traffic" + blockCount);
        SplittableRandom random = new SplittableRandom(9);
        try (CaptureWriter writer = new CaptureWriter(file, "i-1", 5_000)) {
            for (int block = 0; block < blockCount; block++) {
                for (int n = 0; n < requestsPerBlock; n++) {
                    Request.Builder request =
                            Request.newBuilder()
                                    .setVolume("v" + random.nextInt(9))
                                    .setPlan("p")
                                    .setRequestClass("c")
                                    .setUnits(n)
                                    .setInitiatorCount(2)
                                    .setTimeLeftMicros(100 + n)
                                    .setPayload(ByteString.copyFrom(new byte[n]));
                    writer.record(
                            5_000 + block * 1_000L + n,
                            n % 3 == 0
                                    ? request.build()
                                    : request.setShard(n).setExtent("x" + n).build());
                }
                writer.flush();
            }
        }
        return file;
    }

    @Test
    void readsWhatWasWritten() throws IOException {
        CapturedTraffic traffic = CapturedTraffic.read(writeCapture(3, 50));
        assertEquals("i-1", traffic.initiator());
        assertTrue(traffic.complete());
        assertEquals(150, traffic.requests().size());
        CapturedTraffic.CapturedRequest request = traffic.requests().get(101);
        assertEquals(2_001, request.atMicros());
        assertEquals(1, request.shard());
        assertEquals("x1", request.extent());
        assertEquals(1, request.payloadBytes());
        assertEquals(-1, traffic.requests().get(100).shard());
        assertEquals("", traffic.requests().get(100).extent());
    }

    /** Peers that send many long names cannot make the writer use unbounded memory. */
    @Test
    void requestsOverTheNameLimitAreOmittedAndCounted() throws IOException {
        Path file = folder.resolve("long");
        int requestCount = 40_000;
        try (CaptureWriter writer = new CaptureWriter(file, "i", 0)) {
            for (int n = 0; n < requestCount; n++) {
                writer.record(
                        n,
                        Request.newBuilder()
                                .setVolume("v" + n + "x".repeat(500))
                                .setPlan("p")
                                .setRequestClass("c")
                                .build());
            }
        }
        CapturedTraffic traffic = CapturedTraffic.read(file);
        assertEquals(requestCount, traffic.requests().size() + traffic.omitted());
        assertTrue(
                traffic.omitted() > requestCount / 2 && Files.size(file) < 9 << 20,
                "at most 8 MiB of names are pending");
    }

    @Test
    void aTruncatedFileEndsWithACompleteBlock() throws IOException {
        byte[] intactBytes = Files.readAllBytes(writeCapture(4, 20));
        for (int length = 8; length < intactBytes.length; length++) {
            Path truncated = folder.resolve("truncated");
            Files.write(truncated, Arrays.copyOf(intactBytes, length));
            CapturedTraffic traffic = CapturedTraffic.read(truncated);
            assertEquals(
                    0,
                    traffic.requests().size() % 20,
                    "each block is read completely or not at all");
            assertTrue(traffic.requests().size() < 80);
        }
    }

    @Test
    void aFlippedBitIsDetected() throws IOException {
        Path file = writeCapture(2, 20);
        byte[] intactBytes = Files.readAllBytes(file);
        CapturedTraffic intact = CapturedTraffic.read(file);
        for (int at = 8; at < intactBytes.length; at++) {
            byte[] damaged = intactBytes.clone();
            damaged[at] = (byte) (damaged[at] ^ (1 << (at % 8)));
            Files.write(folder.resolve("damaged"), damaged);
            CapturedTraffic traffic = CapturedTraffic.read(folder.resolve("damaged"));
            assertFalse(traffic.complete());
            assertEquals(
                    intact.requests().subList(0, traffic.requests().size()), traffic.requests());
        }
        assertThrows(
                IOException.class,
                () -> CapturedTraffic.read(Files.write(folder.resolve("other"), new byte[40])));
        assertThrows(
                IOException.class,
                () -> new CaptureWriter(file, "i", 0),
                "an existing capture is not overwritten");
    }

    /** Reads a version 1 capture written before the messages of the format were renamed. */
    @Test
    void readsACaptureOfAnEarlierBuild() throws IOException {
        Path file = folder.resolve("earlier");
        try (InputStream resource = getClass().getResourceAsStream("capture-version-1.hex")) {
            String hex = new String(resource.readAllBytes(), StandardCharsets.US_ASCII);
            Files.write(file, HexFormat.of().parseHex(hex.strip()));
        }
        CapturedTraffic traffic = CapturedTraffic.read(file);
        assertEquals("i-1", traffic.initiator());
        assertTrue(traffic.complete());
        assertEquals(3, traffic.omitted());
        CapturedTraffic.CapturedRequest first =
                new CapturedTraffic.CapturedRequest(
                        250, "v1", "gold", "read", "", -1, 2, 1.5, 9_000, false, 0);
        CapturedTraffic.CapturedRequest second =
                new CapturedTraffic.CapturedRequest(
                        300, "v1", "gold", "write", "x7", 6, 2, 4, 8_000, true, 512);
        assertEquals(List.of(first, second), traffic.requests());
    }
}
