package milletyoke.config.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import milletyoke.config.SourceProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A file is not read while it is being written; the test sets the clock. */
class FileSourceProviderTest {
    @TempDir Path folder;

    @Test
    void rejectsAFileModifiedJustNowAndReadsASettledOne() throws Exception {
        Path file = Files.writeString(folder.resolve("f.fleet"), "half of an ed");
        Files.setLastModifiedTime(file, FileTime.fromMillis(1_000_000));
        SourceProvider.UnreadableSourceException error =
                assertThrows(
                        SourceProvider.UnreadableSourceException.class,
                        () -> new FileSourceProvider(() -> 1_000_030).text(file.toString()));
        assertEquals("the file keeps changing while it is read", error.getMessage());
        assertEquals(
                "half of an ed", new FileSourceProvider(() -> 1_000_031).text(file.toString()));
    }

    @Test
    void readsTheFinalTextOfAFileThatChangesBetweenAttempts() throws Exception {
        Path file = Files.writeString(folder.resolve("f.fleet"), "old");
        Files.setLastModifiedTime(file, FileTime.fromMillis(1_000_000));
        int[] clockReads = new int[1];
        String text =
                new FileSourceProvider(
                                () -> {
                                    try {
                                        if (clockReads[0]++ == 0) {
                                            Files.writeString(file, "new and longer");
                                            Files.setLastModifiedTime(
                                                    file, FileTime.fromMillis(1_000_001));
                                            // Within the settle time of both modifications.
                                            return 1_000_010;
                                        }
                                        return 1_000_100;
                                    } catch (java.io.IOException failed) {
                                        throw new IllegalStateException(failed);
                                    }
                                })
                        .text(file.toString());
        assertEquals("new and longer", text);
    }
}
