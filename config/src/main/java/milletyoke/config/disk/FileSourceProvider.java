package milletyoke.config.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import milletyoke.config.SourceProvider;

/** Files of a folder. The one name of a file is its real path, so two links to it are one file. */
public final class FileSourceProvider implements SourceProvider {
    private static final int MAX_FILE_BYTES = 64 << 20, MAX_MATCHES = 10_000, MAX_ATTEMPTS = 8;

    /** A file that was written to so short a time ago may be half written (milliseconds). */
    private static final long SETTLE_MILLIS = 30;

    private final LongSupplier clock;

    public FileSourceProvider() {
        this(System::currentTimeMillis);
    }

    /**
     * @param clock milliseconds, as files are stamped with
     */
    FileSourceProvider(LongSupplier clock) {
        this.clock = clock;
    }

    /** The one name of a file that an operator named. */
    public static String name(Path file) throws UnreadableSourceException {
        try {
            return file.toRealPath().toString();
        } catch (NoSuchFileException missing) {
            throw new UnreadableSourceException("there is no such file");
        } catch (IOException failed) {
            throw new UnreadableSourceException(String.valueOf(failed.getMessage()));
        }
    }

    @Override
    public List<String> find(String from, String pattern) throws UnreadableSourceException {
        Path folder = Path.of(from).getParent();
        boolean glob = pattern.matches(".*[*?\\[{].*");
        try {
            if (!glob) {
                return List.of(name(folder.resolve(pattern)));
            }
            int slash = pattern.lastIndexOf('/');
            Path in = slash < 0 ? folder : folder.resolve(pattern.substring(0, slash));
            PathMatcher fits =
                    FileSystems.getDefault().getPathMatcher("glob:" + pattern.substring(slash + 1));
            List<Path> found = new ArrayList<>();
            try (Stream<Path> all = Files.list(in)) {
                all.filter(f -> fits.matches(f.getFileName()) && Files.isRegularFile(f))
                        .limit(MAX_MATCHES)
                        .forEach(found::add);
            }
            found.sort(null);
            List<String> names = new ArrayList<>();
            for (Path f : found) {
                names.add(name(f));
            }
            return names;
        } catch (IllegalArgumentException bad) {
            throw new UnreadableSourceException("not a pattern of files: " + bad.getMessage());
        } catch (IOException failed) {
            throw new UnreadableSourceException("there is no such folder, or it cannot be read");
        }
    }

    /**
     * Guards against half an edit: a file that changed while it was read, or just before, is read
     * again a moment later, and refused if it does not settle. Could harm nothing but a reading at
     * the moment of a change, which waits.
     */
    @Override
    public String text(String file) throws UnreadableSourceException {
        Path path = Path.of(file);
        try {
            for (int i = 0; i < MAX_ATTEMPTS; i++) {
                BasicFileAttributes before = Files.readAttributes(path, BasicFileAttributes.class);
                if (!before.isRegularFile() || before.size() > MAX_FILE_BYTES) {
                    throw new UnreadableSourceException(
                            before.isRegularFile()
                                    ? "over " + MAX_FILE_BYTES + " bytes"
                                    : "not a file");
                }
                byte[] bytes = Files.readAllBytes(path);
                BasicFileAttributes after = Files.readAttributes(path, BasicFileAttributes.class);
                long since = clock.getAsLong() - after.lastModifiedTime().toMillis();
                boolean settled = since < 0 || since > SETTLE_MILLIS;
                if (settled
                        && after.size() == bytes.length
                        && after.lastModifiedTime().equals(before.lastModifiedTime())) {
                    return StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(bytes))
                            .toString();
                }
                java.util.concurrent.locks.LockSupport.parkNanos(SETTLE_MILLIS * 1_000_000);
            }
            throw new UnreadableSourceException("it changes while it is read");
        } catch (CharacterCodingException notText) {
            throw new UnreadableSourceException("it is not UTF-8 text");
        } catch (NoSuchFileException missing) {
            throw new UnreadableSourceException("there is no such file");
        } catch (IOException failed) {
            throw new UnreadableSourceException(String.valueOf(failed.getMessage()));
        }
    }
}
