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
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import milletyoke.config.SourceProvider;

/**
 * Reads files from the file system. The canonical name of a file is its real path, so that several
 * links to a file count as one file.
 */
public final class FileSourceProvider implements SourceProvider {
    private static final int MAX_FILE_BYTES = 64 << 20;
    private static final int MAX_MATCHES = 10_000;
    private static final int MAX_READ_ATTEMPTS = 8;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A file that was modified within this time may still be incomplete. */
    private static final long SETTLE_TIME_MILLIS = 30;

    private final LongSupplier clock;

    /** Creates a provider that uses the system clock. */
    public FileSourceProvider() {
        this(System::currentTimeMillis);
    }

    /**
     * Creates a provider that uses the given clock.
     *
     * @param clock the current time in milliseconds, comparable with the modification times of
     *     files
     */
    FileSourceProvider(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * Returns the canonical name of a file.
     *
     * @throws UnreadableSourceException if the file does not exist or its path cannot be resolved
     */
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
        Path baseDirectory = Path.of(from).getParent();
        boolean isGlob = pattern.matches(".*[*?\\[{].*");
        try {
            if (!isGlob) {
                return List.of(name(baseDirectory.resolve(pattern)));
            }
            List<String> names = new ArrayList<>();
            for (Path file : matchingFiles(baseDirectory, pattern)) {
                names.add(name(file));
            }
            return names;
        } catch (IllegalArgumentException malformed) {
            throw new UnreadableSourceException("invalid file pattern: " + malformed.getMessage());
        } catch (IOException failed) {
            throw new UnreadableSourceException("the directory does not exist or cannot be read");
        }
    }

    private static List<Path> matchingFiles(Path baseDirectory, String pattern) throws IOException {
        int slash = pattern.lastIndexOf('/');
        Path directory =
                slash < 0 ? baseDirectory : baseDirectory.resolve(pattern.substring(0, slash));
        PathMatcher matcher =
                FileSystems.getDefault().getPathMatcher("glob:" + pattern.substring(slash + 1));
        List<Path> files = new ArrayList<>();
        try (Stream<Path> all = Files.list(directory)) {
            all.filter(file -> matcher.matches(file.getFileName()) && Files.isRegularFile(file))
                    .limit(MAX_MATCHES)
                    .forEach(files::add);
        }
        files.sort(null);
        return files;
    }

    /**
     * Reads a file. A file that changes while it is read, or changed just before, may be incomplete
     * and is read again after a pause.
     *
     * @throws UnreadableSourceException if the file keeps changing or cannot be read
     */
    @Override
    public String text(String file) throws UnreadableSourceException {
        Path path = Path.of(file);
        try {
            for (int attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
                String text = readIfUnchanged(path);
                if (text != null) {
                    return text;
                }
                LockSupport.parkNanos(SETTLE_TIME_MILLIS * NANOS_PER_MILLI);
            }
            throw new UnreadableSourceException("the file keeps changing while it is read");
        } catch (CharacterCodingException notText) {
            throw new UnreadableSourceException("the file is not valid UTF-8 text");
        } catch (NoSuchFileException missing) {
            throw new UnreadableSourceException("there is no such file");
        } catch (IOException failed) {
            throw new UnreadableSourceException(String.valueOf(failed.getMessage()));
        }
    }

    /** Returns the text; null if the file changed while it was read or shortly before. */
    private String readIfUnchanged(Path path) throws IOException, UnreadableSourceException {
        BasicFileAttributes before = Files.readAttributes(path, BasicFileAttributes.class);
        if (!before.isRegularFile()) {
            throw new UnreadableSourceException("not a regular file");
        }
        if (before.size() > MAX_FILE_BYTES) {
            throw new UnreadableSourceException("larger than " + MAX_FILE_BYTES + " bytes");
        }
        byte[] bytes = Files.readAllBytes(path);
        BasicFileAttributes after = Files.readAttributes(path, BasicFileAttributes.class);
        long ageMillis = clock.getAsLong() - after.lastModifiedTime().toMillis();
        boolean isSettled = ageMillis < 0 || ageMillis > SETTLE_TIME_MILLIS;
        boolean isUnchanged =
                after.size() == bytes.length
                        && after.lastModifiedTime().equals(before.lastModifiedTime());
        if (!isSettled || !isUnchanged) {
            return null;
        }
        return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    }
}
