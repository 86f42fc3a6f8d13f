package milletyoke.wire.capture;

import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32C;
import milletyoke.wire.capture.proto.Block;
import milletyoke.wire.capture.proto.RequestRecord;
import milletyoke.wire.proto.Request;

/**
 * Writes a traffic capture in blocks. I/O threads only add to a block in memory; another thread
 * writes it. While {@value #MAX_PENDING_REQUESTS} requests or {@value #MAX_PENDING_NAME_CHARS}
 * characters of new names wait for the disk, further requests are omitted and counted. A capture
 * thus never delays requests, and peers that never use a name twice cannot make it use unbounded
 * memory. Idempotency keys and payloads are not recorded, only the size of a payload.
 */
public final class CaptureWriter implements AutoCloseable {
    static final byte[] MAGIC = "MYTRAFF1".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_PENDING_REQUESTS = 200_000;

    /** Maximum number of characters of new names in the pending block. */
    private static final int MAX_PENDING_NAME_CHARS = 8 << 20;

    /**
     * Maximum number of characters of names whose numbers are kept; a name beyond this limit gets a
     * new number at each use.
     */
    private static final int MAX_KNOWN_NAME_CHARS = 16 << 20;

    private final DataOutputStream out;
    private final Map<String, Integer> nameIndices = new HashMap<>();
    private Block.Builder block;
    private long lastMicros;
    private int nextNameIndex = 1;
    private int knownNameChars;
    private int pendingNameChars;
    private IOException failure;

    /**
     * Creates the file.
     *
     * @param initiator the name of the initiator that receives the traffic
     * @param nowMicros the start time of the capture
     * @throws IOException if the file cannot be created or already exists, since no capture is
     *     overwritten
     */
    public CaptureWriter(Path file, String initiator, long nowMicros) throws IOException {
        OutputStream fileOut =
                Files.newOutputStream(
                        file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        out = new DataOutputStream(fileOut);
        out.write(MAGIC);
        block = Block.newBuilder().setInitiator(initiator);
        lastMicros = nowMicros;
    }

    /**
     * Records a request. Called on I/O threads; does not wait for the disk.
     *
     * @param nowMicros the current time, on the same clock in all calls and the constructor
     */
    public synchronized void record(long nowMicros, Request request) {
        if (block.getRequestCount() >= MAX_PENDING_REQUESTS
                || pendingNameChars >= MAX_PENDING_NAME_CHARS) {
            block.setOmittedCount(block.getOmittedCount() + 1);
            return;
        }
        long atMicros = Math.max(lastMicros, nowMicros);
        block.addRequest(
                RequestRecord.newBuilder()
                        .setDelayMicros(atMicros - lastMicros)
                        .setVolume(nameIndex(request.getVolume()))
                        .setPlan(nameIndex(request.getPlan()))
                        .setRequestClass(nameIndex(request.getRequestClass()))
                        .setExtent(nameIndex(request.getExtent()))
                        .setShard(request.hasShard() ? request.getShard() + 1 : 0)
                        .setInitiatorCount(request.getInitiatorCount())
                        .setUnits(request.getUnits())
                        .setTimeLeftMicros(Math.max(0, request.getTimeLeftMicros()))
                        .setWrite(request.getWrite())
                        .setPayloadBytes(request.getPayload().size()));
        lastMicros = atMicros;
    }

    private int nameIndex(String name) {
        if (name.isEmpty()) {
            return 0;
        }
        Integer knownIndex = nameIndices.get(name);
        if (knownIndex != null) {
            return knownIndex;
        }
        if (knownNameChars < MAX_KNOWN_NAME_CHARS) {
            knownNameChars += name.length();
            nameIndices.put(name, nextNameIndex);
        }
        pendingNameChars += name.length();
        block.addName(name);
        return nextNameIndex++;
    }

    /**
     * Writes the pending block. Waits for the disk, so it must not be called on an I/O thread.
     *
     * @throws IOException if the block cannot be written; no further block is written afterwards
     */
    public void flush() throws IOException {
        synchronized (out) { // one block at a time
            writePendingBlock();
        }
    }

    private void writePendingBlock() throws IOException {
        Block pending;
        synchronized (this) {
            if (failure != null || isEmpty(block)) {
                return;
            }
            pending = block.build();
            block = Block.newBuilder();
            pendingNameChars = 0;
        }
        byte[] bytes = pending.toByteArray();
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        try {
            out.writeInt(bytes.length);
            out.writeInt((int) crc.getValue());
            out.write(bytes);
            out.flush();
        } catch (IOException cause) {
            synchronized (this) {
                failure = cause; // later blocks would refer to names in the lost block
            }
            throw cause;
        }
    }

    private static boolean isEmpty(Block.Builder block) {
        return block.getRequestCount() == 0 && block.getOmittedCount() == 0;
    }

    @Override
    public void close() throws IOException {
        flush();
        out.close();
    }
}
