package milletyoke.config.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import milletyoke.config.SourceProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A file that is being written to is not taken half; the clock is the test's. */
class FileSourceProviderTest {
    @TempDir Path folder;

    @Test
    void whatWasWrittenToJustNowIsRefusedAndWhatHasSettledIsRead() throws Exception {
        Path file = Files.writeString(folder.resolve("f.fleet"), "half of an ed");
        Files.setLastModifiedTime(file, FileTime.fromMillis(1_000_000));
        SourceProvider.UnreadableSourceException told =
                assertThrows(
                        SourceProvider.UnreadableSourceException.class,
                        () -> new FileSourceProvider(() -> 1_000_030).text(file.toString()));
        assertEquals("it changes while it is read", told.getMessage());
        assertEquals(
                "half of an ed", new FileSourceProvider(() -> 1_000_031).text(file.toString()));
    }

    @Test
    void whatChangesBetweenTwoLooksIsReadAsItIsInTheEnd() throws Exception {
        Path file = Files.writeString(folder.resolve("f.fleet"), "old");
        Files.setLastModifiedTime(file, FileTime.fromMillis(1_000_000));
        int[] looks = new int[1];
        String text =
                new FileSourceProvider(
                                () -> {
                                    try {
                                        if (looks[0]++ == 0) {
                                            Files.writeString(file, "new and longer");
                                            Files.setLastModifiedTime(
                                                    file, FileTime.fromMillis(1_000_001));
                                            return 1_000_010; // the first look still sees what was
                                            // written just now
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
