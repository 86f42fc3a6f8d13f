package milletyoke.scheduler.api;

/** An enum constant that configuration files and scripts call by a word of its own. */
public interface Keyword {
    /** The word, in lower case, its parts joined by hyphens. */
    String keyword();

    /**
     * The word for any enum constant: its own where it has one, else its name in lower case with
     * hyphens.
     */
    static String of(Enum<?> constant) {
        if (constant instanceof Keyword named) {
            return named.keyword();
        }
        return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
