package milletyoke.config;

import java.util.List;

/** Provides the text of files, so that the language itself touches no disk. */
public interface SourceProvider {
    /** A file that cannot be read; the message says why. */
    final class UnreadableSourceException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates the exception with the reason, for the operator. */
        public UnreadableSourceException(String message) {
            super(message);
        }
    }

    /**
     * The files that an include matches, in the order of their names. Each is given by its
     * canonical name, whatever other names it has.
     *
     * @param from the canonical name of the including file
     * @throws UnreadableSourceException where the pattern is invalid or its folder cannot be read
     */
    List<String> find(String from, String pattern) throws UnreadableSourceException;

    /**
     * The text of a file.
     *
     * @param file a canonical name
     */
    String text(String file) throws UnreadableSourceException;
}
