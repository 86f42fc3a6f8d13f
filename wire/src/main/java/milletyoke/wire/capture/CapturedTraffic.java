package milletyoke.wire.capture;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import milletyoke.wire.capture.proto.Block;
import milletyoke.wire.capture.proto.Came;

/**
 * Captured traffic of one initiator, read whole.
 *
 * @param omitted accesses that came and are not in it
 * @param complete false where the end was cut off or damaged; what stands before it is used
 */
public record CapturedTraffic(
        String initiator, List<CapturedRequest> requests, long omitted, boolean complete) {
    private static final int MAX_BLOCK_BYTES = 256 << 20;

    /**
     * One access.
     *
     * @param atMicros microseconds since the capture began
     * @param shard -1 for a new object
     */
    public record CapturedRequest(
            long atMicros,
            String volume,
            String plan,
            String requestClass,
            String extent,
            int shard,
            int initiatorCount,
            double units,
            long timeLeftMicros,
            boolean write,
            int payloadBytes) {}

    /**
     * @throws IOException where it is no capture of a version that is known, or a whole block says
     *     what cannot be
     */
    public static CapturedTraffic read(Path file) throws IOException {
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16))) {
            byte[] beginning = in.readNBytes(CaptureWriter.MAGIC.length);
            if (!Arrays.equals(beginning, CaptureWriter.MAGIC)) {
                throw new IOException(file + ": not captured traffic of version 1");
            }
            List<String> names = new ArrayList<>(List.of(""));
            List<CapturedRequest> all = new ArrayList<>();
            String initiator = "";
            long at = 0;
            long leftOut = 0;
            boolean whole = true;
            for (int number = 0; ; number++) {
                Block block;
                try {
                    block = block(in);
                } catch (EOFException | InvalidProtocolBufferException cut) {
                    whole = false;
                    break;
                }
                if (block == null) {
                    break;
                }
                initiator = number == 0 ? block.getInitiator() : initiator;
                names.addAll(block.getNameList());
                leftOut += block.getLeftOut();
                for (Came c : block.getCameList()) {
                    at += c.getAfter();
                    all.add(
                            new CapturedRequest(
                                    at,
                                    name(names, c.getVolume(), file, number),
                                    name(names, c.getPlan(), file, number),
                                    name(names, c.getCategory(), file, number),
                                    name(names, c.getExtent(), file, number),
                                    c.getShard() - 1,
                                    c.getHosts(),
                                    c.getUnits(),
                                    c.getTimeLeft(),
                                    c.getWrite(),
                                    c.getPayload()));
                }
            }
            return new CapturedTraffic(initiator, List.copyOf(all), leftOut, whole);
        }
    }

    private static String name(List<String> names, int number, Path file, int block)
            throws IOException {
        if (number < 0 || number >= names.size()) {
            throw new IOException(
                    file
                            + ": block "
                            + block
                            + " names what was never told, number "
                            + Integer.toUnsignedString(number)
                            + " of "
                            + names.size());
        }
        return names.get(number);
    }

    /** Null at the end. */
    private static Block block(DataInputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        int length = first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
        if (length < 0 || length > MAX_BLOCK_BYTES) {
            throw new EOFException();
        }
        int told = in.readInt();
        byte[] bytes = in.readNBytes(length);
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        if (bytes.length < length || (int) crc.getValue() != told) {
            throw new EOFException();
        }
        return Block.parseFrom(bytes);
    }
}
