package milletyoke.config;

import java.util.List;

/** Where the text of files comes from; the language itself touches no disk. */
public interface Library {
    /** A file that cannot be had; the message says why. */
    final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        public Unreadable(String message) {
            super(message);
        }
    }

    /**
     * The files that an include names, in the order of their names: each by the one name that
     * stands for it, whatever other names lead to it.
     *
     * @param from the including file, by that name
     */
    List<String> find(String from, String pattern) throws Unreadable;

    String text(String file) throws Unreadable;
}
