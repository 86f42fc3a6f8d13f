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
 * The list as last held, in a file: eight bytes of CRC-32C and then the list. Written aside, forced
 * and renamed, so that a kill leaves the old one or the new one; one that does not check is not
 * used.
 */
public final class EndpointListCache {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListCache.class);
    private static final int PREFIX = Long.BYTES;

    private final Path file;
    private final boolean forced;
    private final AtomicReference<EndpointList> newest = new AtomicReference<>();

    public EndpointListCache(Path folder) throws IOException {
        this(folder, true);
    }

    /**
     * @param forced false where no power can fail, as in a lab: what is written is not forced to
     *     the disk
     */
    public EndpointListCache(Path folder, boolean forced) throws IOException {
        this.forced = forced;
        Files.createDirectories(folder);
        file = folder.resolve("targets.list");
    }

    /** The list last saved; null where there is none that can be trusted. */
    public EndpointList load() {
        try {
            byte[] all = Files.readAllBytes(file);
            ByteBuffer read = ByteBuffer.wrap(all);
            if (all.length < PREFIX || read.getLong() != checksum(all)) {
                LOG.warn("{} does not check and is not used; the list comes from discovery", file);
                return null;
            }
            return EndpointList.parseFrom(read);
        } catch (NoSuchFileException first) {
            return null;
        } catch (InvalidProtocolBufferException bad) {
            LOG.warn("{} cannot be read and is not used: {}", file, bad.getMessage());
            return null;
        } catch (IOException unreadable) {
            LOG.warn("{} cannot be read: {}", file, unreadable.getMessage());
            return null;
        }
    }

    private static long checksum(byte[] all) {
        CRC32C crc = new CRC32C();
        crc.update(all, PREFIX, all.length - PREFIX);
        return crc.getValue();
    }

    /** Notes what is to be saved; returns true where no save of an earlier one is due already. */
    public boolean note(EndpointList list) {
        return newest.getAndSet(list) == null;
    }

    /** Saves the newest noted; not to be called on the loop's thread. */
    public void save() {
        EndpointList list = newest.getAndSet(null);
        if (list == null) {
            return;
        }
        byte[] body = list.toByteArray();
        byte[] all = new byte[PREFIX + body.length];
        System.arraycopy(body, 0, all, PREFIX, body.length);
        ByteBuffer.wrap(all).putLong(0, checksum(all));
        Path aside = file.resolveSibling("targets.list.new");
        try (FileChannel out =
                FileChannel.open(
                        aside,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer left = ByteBuffer.wrap(all);
            while (left.hasRemaining()) {
                out.write(left);
            }
            if (forced) {
                out.force(true);
            }
            Files.move(
                    aside,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException failed) {
            LOG.warn("the list could not be kept in {}: {}", file, failed.getMessage());
        }
    }
}
