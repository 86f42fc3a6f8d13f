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
 * The complete contents of one initiator's traffic capture.
 *
 * @param initiator the name of the initiator
 * @param requests the captured requests, in the order of their arrival
 * @param omitted number of requests that were received but not captured
 * @param complete false if the end of the file is truncated or damaged; the preceding blocks are
 *     used
 */
public record CapturedTraffic(
        String initiator, List<CapturedRequest> requests, long omitted, boolean complete) {
    private static final int MAX_BLOCK_BYTES = 256 << 20;
    private static final int BUFFER_BYTES = 1 << 16;

    /**
     * A captured request.
     *
     * @param atMicros arrival time in microseconds since the start of the capture
     * @param shard the shard, or -1 for a new object
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
     * @throws IOException if the file is not a capture of a supported version, or an intact block
     *     refers to an undefined name
     */
    public static CapturedTraffic read(Path file) throws IOException {
        InputStream fileIn = Files.newInputStream(file);
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(fileIn, BUFFER_BYTES))) {
            byte[] magic = in.readNBytes(CaptureWriter.MAGIC.length);
            if (!Arrays.equals(magic, CaptureWriter.MAGIC)) {
                throw new IOException(file + ": not a traffic capture of version 1");
            }
            Reader reader = new Reader(file);
            boolean isComplete = reader.readBlocks(in);
            return new CapturedTraffic(
                    reader.initiator, List.copyOf(reader.requests), reader.omitted, isComplete);
        }
    }

    /** Collects the contents of the blocks read so far. */
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

        /** Reads up to the end of the file or the first damaged block; returns false if damaged. */
        boolean readBlocks(DataInputStream in) throws IOException {
            for (int blockNumber = 0; ; blockNumber++) {
                Block block;
                try {
                    block = readBlock(in);
                } catch (EOFException | InvalidProtocolBufferException damaged) {
                    return false;
                }
                if (block == null) {
                    return true;
                }
                add(block, blockNumber);
            }
        }

        private void add(Block block, int blockNumber) throws IOException {
            initiator = blockNumber == 0 ? block.getInitiator() : initiator;
            names.addAll(block.getNameList());
            omitted += block.getOmittedCount();
            for (RequestRecord record : block.getRequestList()) {
                atMicros += record.getDelayMicros();
                requests.add(
                        new CapturedRequest(
                                atMicros,
                                name(record.getVolume(), blockNumber),
                                name(record.getPlan(), blockNumber),
                                name(record.getRequestClass(), blockNumber),
                                name(record.getExtent(), blockNumber),
                                record.getShard() - 1,
                                record.getInitiatorCount(),
                                record.getUnits(),
                                record.getTimeLeftMicros(),
                                record.getWrite(),
                                record.getPayloadBytes()));
            }
        }

        private String name(int index, int blockNumber) throws IOException {
            if (index < 0 || index >= names.size()) {
                throw new IOException(
                        file
                                + ": block "
                                + blockNumber
                                + " refers to undefined name number "
                                + Integer.toUnsignedString(index)
                                + ", number of names: "
                                + names.size());
            }
            return names.get(index);
        }
    }

    /**
     * Reads one block; returns null at the end of the file.
     *
     * @throws EOFException if the block is truncated, has an invalid length or fails its checksum
     */
    private static Block readBlock(DataInputStream in) throws IOException {
        int firstByte = in.read();
        if (firstByte < 0) {
            return null;
        }
        int length = firstByte << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
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
