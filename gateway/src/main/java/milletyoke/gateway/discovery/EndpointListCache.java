package milletyoke.gateway.discovery;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.atomic.AtomicReference;
import java.util.zip.CRC32C;
import milletyoke.wire.proto.EndpointList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the latest endpoint list in a file: eight bytes of CRC-32C, then the list. The list is
 * written to a temporary file, forced to disk and renamed, so that a crash leaves either the old or
 * the new list. A file with a wrong checksum is ignored.
 */
public final class EndpointListCache {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListCache.class);
    private static final int CHECKSUM_BYTES = Long.BYTES;
    private static final String FILE_NAME = "targets.list";
    private static final String TEMPORARY_FILE_NAME = "targets.list.new";

    private final Path file;
    private final boolean isForced;

    /** The list to be saved next; null if none is pending. */
    private final AtomicReference<EndpointList> pending = new AtomicReference<>();

    /**
     * Creates a cache whose writes are forced to disk.
     *
     * @throws IOException if the folder cannot be created
     */
    public EndpointListCache(Path folder) throws IOException {
        this(folder, true);
    }

    /**
     * Creates a cache.
     *
     * @param isForced whether writes are forced to disk; false in a simulation, which has no power
     *     failures
     * @throws IOException if the folder cannot be created
     */
    public EndpointListCache(Path folder, boolean isForced) throws IOException {
        this.isForced = isForced;
        Files.createDirectories(folder);
        file = folder.resolve(FILE_NAME);
    }

    /** Reads the list that was last saved; returns null if there is none or it is corrupt. */
    public EndpointList load() {
        try {
            byte[] content = Files.readAllBytes(file);
            ByteBuffer buffer = ByteBuffer.wrap(content);
            if (content.length < CHECKSUM_BYTES || buffer.getLong() != checksum(content)) {
                LOG.warn("endpoint list cache ignored, wrong checksum file={}", file);
                return null;
            }
            return EndpointList.parseFrom(buffer);
        } catch (NoSuchFileException firstStart) {
            return null;
        } catch (InvalidProtocolBufferException malformed) {
            LOG.warn(
                    "endpoint list cache ignored, malformed file={} reason={}",
                    file,
                    malformed.getMessage());
            return null;
        } catch (IOException unreadable) {
            LOG.warn(
                    "endpoint list cache ignored, unreadable file={} reason={}",
                    file,
                    unreadable.getMessage());
            return null;
        }
    }

    private static long checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content, CHECKSUM_BYTES, content.length - CHECKSUM_BYTES);
        return crc.getValue();
    }

    /**
     * Sets the list to be saved next, replacing one that is pending. Any thread.
     *
     * @return true if none was pending, so that {@link #save} must be called
     */
    public boolean replacePending(EndpointList list) {
        return pending.getAndSet(list) == null;
    }

    /**
     * Saves the pending list. Blocks on the disk, so must not be called on the event loop's thread.
     */
    public void save() {
        EndpointList list = pending.getAndSet(null);
        if (list == null) {
            return;
        }
        try {
            write(encode(list));
        } catch (IOException failed) {
            LOG.warn(
                    "endpoint list could not be saved file={} reason={}",
                    file,
                    failed.getMessage());
        }
    }

    private static byte[] encode(EndpointList list) {
        byte[] body = list.toByteArray();
        byte[] content = new byte[CHECKSUM_BYTES + body.length];
        System.arraycopy(body, 0, content, CHECKSUM_BYTES, body.length);
        ByteBuffer.wrap(content).putLong(0, checksum(content));
        return content;
    }

    private void write(byte[] content) throws IOException {
        Path temporary = file.resolveSibling(TEMPORARY_FILE_NAME);
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer remaining = ByteBuffer.wrap(content);
            while (remaining.hasRemaining()) {
                channel.write(remaining);
            }
            if (isForced) {
                channel.force(true);
            }
            Files.move(
                    temporary,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        }
    }
}
