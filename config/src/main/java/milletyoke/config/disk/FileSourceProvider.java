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
 * Reads files from the file system. The canonical name of a file is its real path, so that two
 * links to it are one file.
 */
public final class FileSourceProvider implements SourceProvider {
    private static final int MAX_FILE_BYTES = 64 << 20;
    private static final int MAX_MATCHES = 10_000;
    private static final int MAX_ATTEMPTS = 8;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A file that was modified less than this ago may still be being written. */
    private static final long SETTLE_MILLIS = 30;

    private final LongSupplier clock;

    /** Uses the system clock. */
    public FileSourceProvider() {
        this(System::currentTimeMillis);
    }

    /**
     * Uses a given clock.
     *
     * @param clock milliseconds, comparable with the modification times of files
     */
    FileSourceProvider(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * The canonical name of a file.
     *
     * @throws UnreadableSourceException where there is no such file
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
        Path folder = Path.of(from).getParent();
        boolean isGlob = pattern.matches(".*[*?\\[{].*");
        try {
            if (!isGlob) {
                return List.of(name(folder.resolve(pattern)));
            }
            List<String> names = new ArrayList<>();
            for (Path file : matchingFiles(folder, pattern)) {
                names.add(name(file));
            }
            return names;
        } catch (IllegalArgumentException malformed) {
            throw new UnreadableSourceException(
                    "not a pattern of files: " + malformed.getMessage());
        } catch (IOException failed) {
            throw new UnreadableSourceException("there is no such folder, or it cannot be read");
        }
    }

    private static List<Path> matchingFiles(Path folder, String pattern) throws IOException {
        int slash = pattern.lastIndexOf('/');
        Path directory = slash < 0 ? folder : folder.resolve(pattern.substring(0, slash));
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
     * Reads a file. One that changed while it was read, or just before, may be half written: it is
     * read again a moment later, and refused if it keeps changing.
     */
    @Override
    public String text(String file) throws UnreadableSourceException {
        Path path = Path.of(file);
        try {
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                String text = readIfUnchanged(path);
                if (text != null) {
                    return text;
                }
                LockSupport.parkNanos(SETTLE_MILLIS * NANOS_PER_MILLI);
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

    /** The text; null where the file changed meanwhile or shortly before. */
    private String readIfUnchanged(Path path) throws IOException, UnreadableSourceException {
        BasicFileAttributes before = Files.readAttributes(path, BasicFileAttributes.class);
        if (!before.isRegularFile()) {
            throw new UnreadableSourceException("not a file");
        }
        if (before.size() > MAX_FILE_BYTES) {
            throw new UnreadableSourceException("over " + MAX_FILE_BYTES + " bytes");
        }
        byte[] bytes = Files.readAllBytes(path);
        BasicFileAttributes after = Files.readAttributes(path, BasicFileAttributes.class);
        long ageMillis = clock.getAsLong() - after.lastModifiedTime().toMillis();
        boolean isSettled = ageMillis < 0 || ageMillis > SETTLE_MILLIS;
        boolean isUnchanged =
                after.size() == bytes.length
                        && after.lastModifiedTime().equals(before.lastModifiedTime());
        if (!isSettled || !isUnchanged) {
            return null;
        }
        return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    }
}
