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
 * The last endpoint list in a file: eight bytes of CRC-32C, then the list. It is written to a
 * second file, forced to the disk and renamed, so that a kill leaves the old list or the new one. A
 * file whose checksum is wrong is not used.
 */
public final class EndpointListCache {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListCache.class);
    private static final int CHECKSUM_BYTES = Long.BYTES;
    private static final String FILE_NAME = "targets.list";
    private static final String TEMPORARY_FILE_NAME = "targets.list.new";

    private final Path file;
    private final boolean isForced;

    /** The list to be saved next; null where none is pending. */
    private final AtomicReference<EndpointList> pending = new AtomicReference<>();

    /**
     * Creates a cache whose writes are forced to the disk.
     *
     * @throws IOException where the folder cannot be created
     */
    public EndpointListCache(Path folder) throws IOException {
        this(folder, true);
    }

    /**
     * Creates a cache.
     *
     * @param isForced whether writes are forced to the disk; false in a simulation, where no power
     *     can fail
     * @throws IOException where the folder cannot be created
     */
    public EndpointListCache(Path folder, boolean isForced) throws IOException {
        this.isForced = isForced;
        Files.createDirectories(folder);
        file = folder.resolve(FILE_NAME);
    }

    /** Reads the list last saved; null where there is none that can be trusted. */
    public EndpointList load() {
        try {
            byte[] content = Files.readAllBytes(file);
            ByteBuffer buffer = ByteBuffer.wrap(content);
            if (content.length < CHECKSUM_BYTES || buffer.getLong() != checksum(content)) {
                LOG.warn("endpoint list cache not used, wrong checksum file={}", file);
                return null;
            }
            return EndpointList.parseFrom(buffer);
        } catch (NoSuchFileException firstStart) {
            return null;
        } catch (InvalidProtocolBufferException malformed) {
            LOG.warn(
                    "endpoint list cache not used, malformed file={} reason={}",
                    file,
                    malformed.getMessage());
            return null;
        } catch (IOException unreadable) {
            LOG.warn(
                    "endpoint list cache not used, unreadable file={} reason={}",
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
     * Notes a list that is to be saved, in place of one that is pending. Any thread.
     *
     * @return true where none was pending, so that a call of {@link #save} is needed
     */
    public boolean note(EndpointList list) {
        return pending.getAndSet(list) == null;
    }

    /** Saves the list that is pending. It waits for the disk: never on the event loop's thread. */
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
