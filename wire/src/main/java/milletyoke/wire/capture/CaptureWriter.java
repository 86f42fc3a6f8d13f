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
import milletyoke.wire.capture.proto.Came;
import milletyoke.wire.proto.Request;

/**
 * Writes what comes in, in blocks. Whoever serves sockets only adds to a block in memory; another
 * thread writes it. Where the disk is behind by {@value #MOST_WAITING} accesses, further ones are
 * left out and counted: a daemon is never held up by its capture, and peers that never use a name
 * twice cannot make it remember without bound. Marks and payloads are not kept, only that there was
 * one of so many bytes.
 */
public final class CaptureWriter implements AutoCloseable {
    static final byte[] MAGIC = "MYTRAFF1".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_PENDING_REQUESTS = 200_000;

    /**
     * Characters of names that wait to be written, and of names remembered; beyond the latter they
     * are told anew each time.
     */
    private static final int MAX_PENDING_NAME_CHARS = 8 << 20, MAX_KNOWN_NAME_CHARS = 16 << 20;

    private final DataOutputStream out;
    private final Map<String, Integer> names = new HashMap<>();
    private Block.Builder block;
    private long lastMicros;
    private int nextNameIndex = 1;
    private int knownNameChars;
    private int pendingNameChars;
    private IOException failure;

    /**
     * @param now when it begins (microseconds)
     * @throws IOException where the file cannot be made, or is there already: no capture is written
     *     over
     */
    public CaptureWriter(Path file, String initiator, long now) throws IOException {
        OutputStream raw =
                Files.newOutputStream(
                        file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        out = new DataOutputStream(raw);
        out.write(MAGIC);
        block = Block.newBuilder().setInitiator(initiator);
        lastMicros = now;
    }

    /** An access came. @param now microseconds, on one clock for all calls */
    public synchronized void record(long now, Request a) {
        if (block.getCameCount() >= MAX_PENDING_REQUESTS
                || pendingNameChars >= MAX_PENDING_NAME_CHARS) {
            block.setLeftOut(block.getLeftOut() + 1);
            return;
        }
        long at = Math.max(lastMicros, now);
        block.addCame(
                Came.newBuilder()
                        .setAfter(at - lastMicros)
                        .setVolume(nameIndex(a.getVolume()))
                        .setPlan(nameIndex(a.getPlan()))
                        .setCategory(nameIndex(a.getRequestClass()))
                        .setExtent(nameIndex(a.getExtent()))
                        .setShard(a.hasShard() ? a.getShard() + 1 : 0)
                        .setHosts(a.getInitiatorCount())
                        .setUnits(a.getUnits())
                        .setTimeLeft(Math.max(0, a.getTimeLeftMicros()))
                        .setWrite(a.getWrite())
                        .setPayload(a.getPayload().size()));
        lastMicros = at;
    }

    private int nameIndex(String name) {
        if (name.isEmpty()) {
            return 0;
        }
        Integer known = names.get(name);
        if (known != null) {
            return known;
        }
        if (knownNameChars < MAX_KNOWN_NAME_CHARS) {
            knownNameChars += name.length();
            names.put(name, nextNameIndex);
        }
        pendingNameChars += name.length();
        block.addName(name);
        return nextNameIndex++;
    }

    /** Writes what has come; not to be called by a thread that serves sockets. */
    public void flush() throws IOException {
        synchronized (out) { // blocks of two who flush would run into each other
            write();
        }
    }

    private void write() throws IOException {
        Block full;
        synchronized (this) {
            if (failure != null || block.getCameCount() == 0 && block.getLeftOut() == 0) {
                return;
            }
            full = block.build();
            block = Block.newBuilder();
            pendingNameChars = 0;
        }
        byte[] bytes = full.toByteArray();
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        try {
            out.writeInt(bytes.length);
            out.writeInt((int) crc.getValue());
            out.write(bytes);
            out.flush();
        } catch (IOException cause) {
            synchronized (this) {
                failure = cause; // what follows would stand behind a hole
            }
            throw cause;
        }
    }

    @Override
    public void close() throws IOException {
        flush();
        out.close();
    }
}
