package milletyoke.wire.capture;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import milletyoke.wire.capture.proto.Block;
import milletyoke.wire.capture.proto.RequestRecord;

/**
 * Captured traffic of one initiator, read whole.
 *
 * @param initiator its name
 * @param requests in the order of their arrival
 * @param omitted requests that were received and are not in the capture
 * @param complete false where the end was cut off or damaged; what precedes it is used
 */
public record CapturedTraffic(
        String initiator, List<CapturedRequest> requests, long omitted, boolean complete) {
    private static final int MAX_BLOCK_BYTES = 256 << 20;
    private static final int BUFFER_BYTES = 1 << 16;

    /**
     * One request.
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
     * Reads a capture.
     *
     * @throws IOException where the file is no capture of a known version, or a complete block is
     *     inconsistent
     */
    public static CapturedTraffic read(Path file) throws IOException {
        InputStream raw = Files.newInputStream(file);
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(raw, BUFFER_BYTES))) {
            byte[] magic = in.readNBytes(CaptureWriter.MAGIC.length);
            if (!Arrays.equals(magic, CaptureWriter.MAGIC)) {
                throw new IOException(file + ": not captured traffic of version 1");
            }
            Reader reader = new Reader(file);
            boolean isComplete = reader.readBlocks(in);
            return new CapturedTraffic(
                    reader.initiator, List.copyOf(reader.requests), reader.omitted, isComplete);
        }
    }

    /** What has been read of a file so far. */
    private static final class Reader {
        private final Path file;
        private final List<String> names = new ArrayList<>(List.of(""));
        private final List<CapturedRequest> requests = new ArrayList<>();
        private String initiator = "";
        private long atMicros;
        private long omitted;

        Reader(Path file) {
            this.file = file;
        }

        /** Reads up to the end or the first damaged block; whether it was the end. */
        boolean readBlocks(DataInputStream in) throws IOException {
            for (int number = 0; ; number++) {
                Block block;
                try {
                    block = readBlock(in);
                } catch (EOFException | InvalidProtocolBufferException damaged) {
                    return false;
                }
                if (block == null) {
                    return true;
                }
                add(block, number);
            }
        }

        private void add(Block block, int number) throws IOException {
            initiator = number == 0 ? block.getInitiator() : initiator;
            names.addAll(block.getNameList());
            omitted += block.getOmittedCount();
            for (RequestRecord record : block.getRequestList()) {
                atMicros += record.getDelayMicros();
                requests.add(
                        new CapturedRequest(
                                atMicros,
                                name(record.getVolume(), number),
                                name(record.getPlan(), number),
                                name(record.getRequestClass(), number),
                                name(record.getExtent(), number),
                                record.getShard() - 1,
                                record.getInitiatorCount(),
                                record.getUnits(),
                                record.getTimeLeftMicros(),
                                record.getWrite(),
                                record.getPayloadBytes()));
            }
        }

        private String name(int index, int block) throws IOException {
            if (index < 0 || index >= names.size()) {
                throw new IOException(
                        file
                                + ": block "
                                + block
                                + " names what was never told, number "
                                + Integer.toUnsignedString(index)
                                + " of "
                                + names.size());
            }
            return names.get(index);
        }
    }

    /**
     * Reads one block; null at the end of the file.
     *
     * @throws EOFException where the block is cut off or fails its checksum
     */
    private static Block readBlock(DataInputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        int length = first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
        if (length < 0 || length > MAX_BLOCK_BYTES) {
            throw new EOFException();
        }
        int checksum = in.readInt();
        byte[] bytes = in.readNBytes(length);
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        if (bytes.length < length || (int) crc.getValue() != checksum) {
            throw new EOFException();
        }
        return Block.parseFrom(bytes);
    }
}
