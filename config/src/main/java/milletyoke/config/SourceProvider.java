package milletyoke.config;

import java.util.List;

/** Where the text of files comes from; the language itself touches no disk. */
public interface SourceProvider {
    /** A file that cannot be had; the message says why. */
    final class UnreadableSourceException extends Exception {
        private static final long serialVersionUID = 1L;

        public UnreadableSourceException(String message) {
            super(message);
        }
    }

    /**
     * The files that an include names, in the order of their names: each by the one name that
     * stands for it, whatever other names lead to it.
     *
     * @param from the including file, by that name
     */
    List<String> find(String from, String pattern) throws UnreadableSourceException;

    String text(String file) throws UnreadableSourceException;
}
