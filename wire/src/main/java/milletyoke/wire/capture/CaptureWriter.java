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
import milletyoke.wire.proto.Access;

/**
 * Writes what comes in, in blocks. Whoever serves sockets only adds to a block in memory; another thread writes it. Where the
 * disk is behind by {@value #MOST_WAITING} accesses, further ones are left out and counted: a daemon is never held up by
 * its capture. Marks and payloads are not kept, only that there was one of so many bytes.
 */
public final class CaptureWriter implements AutoCloseable {
    static final byte[] BEGINNING = "MYTRAFF1".getBytes(StandardCharsets.US_ASCII);
    private static final int MOST_WAITING = 200_000;
    /** Names remembered; beyond, they are told anew in each block that needs them. */
    private static final int MOST_NAMES = 500_000;

    private final DataOutputStream out;
    private final Map<String, Integer> names = new HashMap<>();
    private Block.Builder block;
    private long last;
    private int nextName = 1;
    private IOException failed;

    /**
     * @param now when it begins (microseconds)
     * @throws IOException where the file cannot be made, or is there already: no capture is written over
     */
    public CaptureWriter(Path file, String initiator, long now) throws IOException {
        OutputStream raw = Files.newOutputStream(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        out = new DataOutputStream(raw);
        out.write(BEGINNING);
        block = Block.newBuilder().setInitiator(initiator);
        last = now;
    }

    /** An access came. @param now microseconds, on one clock for all calls */
    public synchronized void came(long now, Access a) {
        if (block.getCameCount() >= MOST_WAITING) {
            block.setLeftOut(block.getLeftOut() + 1);
            return;
        }
        long at = Math.max(last, now);
        block.addCame(Came.newBuilder().setAfter(at - last).setVolume(name(a.getVolume())).setPlan(name(a.getPlan()))
                .setCategory(name(a.getCategory())).setExtent(name(a.getExtent())).setShard(a.hasShard() ? a.getShard() + 1 : 0)
                .setHosts(a.getHosts()).setUnits(a.getUnits()).setTimeLeft(Math.max(0, a.getTimeLeft())).setWrite(a.getWrite())
                .setPayload(a.getPayload().size()));
        last = at;
    }

    private int name(String text) {
        if (text.isEmpty()) {
            return 0;
        }
        Integer known = names.get(text);
        if (known != null) {
            return known;
        }
        if (names.size() < MOST_NAMES) {
            names.put(text, nextName);
        }
        block.addName(text);
        return nextName++;
    }

    /** Writes what has come; not to be called by a thread that serves sockets. */
    public void flush() throws IOException {
        Block full;
        synchronized (this) {
            if (failed != null || block.getCameCount() == 0 && block.getLeftOut() == 0) {
                return;
            }
            full = block.build();
            block = Block.newBuilder();
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
                failed = cause; // what follows would stand behind a hole
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
