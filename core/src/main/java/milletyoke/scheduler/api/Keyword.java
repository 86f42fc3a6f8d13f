package milletyoke.scheduler.api;

/** An enum constant with a keyword of its own in configuration files and scripts. */
public interface Keyword {
    /** Returns the keyword, in lower case with hyphens between its parts. */
    String keyword();

    /**
     * Returns the keyword of any enum constant: its own if it has one, else its name in lower case
     * with hyphens.
     */
    static String of(Enum<?> constant) {
        if (constant instanceof Keyword withKeyword) {
            return withKeyword.keyword();
        }
        return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
