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
import milletyoke.wire.capture.Traffic;
import milletyoke.wire.proto.Access;
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
                    Access.Builder a =
                            Access.newBuilder()
                                    .setVolume("v" + chance.nextInt(9))
                                    .setPlan("p")
                                    .setCategory("c")
                                    .setUnits(n)
                                    .setHosts(2)
                                    .setTimeLeft(100 + n)
                                    .setPayload(ByteString.copyFrom(new byte[n]));
                    writer.came(
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
        Traffic t = Traffic.read(written(3, 50));
        assertEquals("i-1", t.initiator());
        assertTrue(t.whole());
        assertEquals(150, t.accesses().size());
        Traffic.One one = t.accesses().get(101);
        assertEquals(2_001, one.at());
        assertEquals(1, one.shard());
        assertEquals("x1", one.extent());
        assertEquals(1, one.payload());
        assertEquals(-1, t.accesses().get(100).shard());
        assertEquals("", t.accesses().get(100).extent());
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
                writer.came(
                        n,
                        Access.newBuilder()
                                .setVolume("v" + n + "x".repeat(500))
                                .setPlan("p")
                                .setCategory("c")
                                .build());
            }
        }
        Traffic t = Traffic.read(file);
        assertEquals(asked, t.accesses().size() + t.leftOut());
        assertTrue(
                t.leftOut() > asked / 2 && Files.size(file) < 9 << 20,
                "8 MiB of names wait at the most");
    }

    @Test
    void cutAnywhereItEndsWithAWholeBlock() throws IOException {
        byte[] all = Files.readAllBytes(written(4, 20));
        for (int length = 8; length < all.length; length++) {
            Path cut = folder.resolve("cut");
            Files.write(cut, Arrays.copyOf(all, length));
            Traffic t = Traffic.read(cut);
            assertEquals(0, t.accesses().size() % 20, "blocks are whole or not there");
            assertTrue(t.accesses().size() < 80);
        }
    }

    @Test
    void aFlippedBitIsNeverTakenForTraffic() throws IOException {
        Path file = written(2, 20);
        byte[] all = Files.readAllBytes(file);
        Traffic sound = Traffic.read(file);
        for (int at = 8; at < all.length; at++) {
            byte[] bad = all.clone();
            bad[at] ^= 1 << at % 8;
            Files.write(folder.resolve("bad"), bad);
            Traffic t = Traffic.read(folder.resolve("bad"));
            assertFalse(t.whole());
            assertEquals(sound.accesses().subList(0, t.accesses().size()), t.accesses());
        }
        assertThrows(
                IOException.class,
                () -> Traffic.read(Files.write(folder.resolve("other"), new byte[40])));
        assertThrows(
                IOException.class,
                () -> new CaptureWriter(file, "i", 0),
                "no capture is written over");
    }
}
