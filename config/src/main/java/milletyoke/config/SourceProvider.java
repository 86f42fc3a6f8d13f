package milletyoke.config;

import java.util.List;

/** Finds files and reads their text, so that the language itself does no file I/O. */
public interface SourceProvider {
    /** Thrown when a file cannot be read; the message is the reason. */
    final class UnreadableSourceException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates an exception with the reason, as it is shown to the operator. */
        public UnreadableSourceException(String message) {
            super(message);
        }
    }

    /**
     * Returns the canonical names of the files that an include matches, ordered by the matched
     * names.
     *
     * @param from the canonical name of the including file
     * @throws UnreadableSourceException if the pattern is invalid, or the file or its directory
     *     cannot be read
     */
    List<String> find(String from, String pattern) throws UnreadableSourceException;

    /**
     * Reads a file.
     *
     * @param file a canonical name
     * @return the text of the file
     */
    String text(String file) throws UnreadableSourceException;
}
