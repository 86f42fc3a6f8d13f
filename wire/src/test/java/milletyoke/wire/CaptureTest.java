package milletyoke.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.SplittableRandom;
import milletyoke.wire.capture.CaptureWriter;
import milletyoke.wire.capture.CapturedTraffic;
import milletyoke.wire.proto.Request;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Captured traffic comes back as it was, up to wherever a kill or a bad disk cut it. */
class CaptureTest {
    @TempDir Path folder;

    private Path written(int blocks, int each) throws IOException {
        Path file = folder.resolve("traffic" + blocks);
        SplittableRandom chance = new SplittableRandom(9);
        try (CaptureWriter writer = new CaptureWriter(file, "i-1", 5_000)) {
            for (int b = 0; b < blocks; b++) {
                for (int n = 0; n < each; n++) {
                    Request.Builder a =
                            Request.newBuilder()
                                    .setVolume("v" + chance.nextInt(9))
                                    .setPlan("p")
                                    .setRequestClass("c")
                                    .setUnits(n)
                                    .setInitiatorCount(2)
                                    .setTimeLeftMicros(100 + n)
                                    .setPayload(ByteString.copyFrom(new byte[n]));
                    writer.record(
                            5_000 + b * 1_000L + n,
                            n % 3 == 0 ? a.build() : a.setShard(n).setExtent("x" + n).build());
                }
                writer.flush();
            }
        }
        return file;
    }

    @Test
    void whatCameComesBack() throws IOException {
        CapturedTraffic t = CapturedTraffic.read(written(3, 50));
        assertEquals("i-1", t.initiator());
        assertTrue(t.complete());
        assertEquals(150, t.requests().size());
        CapturedTraffic.CapturedRequest one = t.requests().get(101);
        assertEquals(2_001, one.atMicros());
        assertEquals(1, one.shard());
        assertEquals("x1", one.extent());
        assertEquals(1, one.payloadBytes());
        assertEquals(-1, t.requests().get(100).shard());
        assertEquals("", t.requests().get(100).extent());
    }

    /**
     * Peers that make up long names cannot make the writer keep them without bound: what is beyond
     * is counted.
     */
    @Test
    void longNamesAreLeftOutAndCounted() throws IOException {
        Path file = folder.resolve("long");
        int asked = 40_000;
        try (CaptureWriter writer = new CaptureWriter(file, "i", 0)) {
            for (int n = 0; n < asked; n++) {
                writer.record(
                        n,
                        Request.newBuilder()
                                .setVolume("v" + n + "x".repeat(500))
                                .setPlan("p")
                                .setRequestClass("c")
                                .build());
            }
        }
        CapturedTraffic t = CapturedTraffic.read(file);
        assertEquals(asked, t.requests().size() + t.omitted());
        assertTrue(
                t.omitted() > asked / 2 && Files.size(file) < 9 << 20,
                "8 MiB of names wait at the most");
    }

    @Test
    void cutAnywhereItEndsWithAWholeBlock() throws IOException {
        byte[] all = Files.readAllBytes(written(4, 20));
        for (int length = 8; length < all.length; length++) {
            Path cut = folder.resolve("cut");
            Files.write(cut, Arrays.copyOf(all, length));
            CapturedTraffic t = CapturedTraffic.read(cut);
            assertEquals(0, t.requests().size() % 20, "blocks are whole or not there");
            assertTrue(t.requests().size() < 80);
        }
    }

    @Test
    void aFlippedBitIsNeverTakenForTraffic() throws IOException {
        Path file = written(2, 20);
        byte[] all = Files.readAllBytes(file);
        CapturedTraffic sound = CapturedTraffic.read(file);
        for (int at = 8; at < all.length; at++) {
            byte[] bad = all.clone();
            bad[at] ^= 1 << at % 8;
            Files.write(folder.resolve("bad"), bad);
            CapturedTraffic t = CapturedTraffic.read(folder.resolve("bad"));
            assertFalse(t.complete());
            assertEquals(sound.requests().subList(0, t.requests().size()), t.requests());
        }
        assertThrows(
                IOException.class,
                () -> CapturedTraffic.read(Files.write(folder.resolve("other"), new byte[40])));
        assertThrows(
                IOException.class,
                () -> new CaptureWriter(file, "i", 0),
                "no capture is written over");
    }
}
