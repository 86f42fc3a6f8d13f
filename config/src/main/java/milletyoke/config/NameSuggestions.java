package milletyoke.config;

import java.util.Collection;

/** Finds the known name that is most similar to a misspelt one. */
final class NameSuggestions {
    private static final int MAX_NAME_CHARS = 64;

    private NameSuggestions() {}

    /**
     * Returns the known name with the smallest edit distance; the first of several, so that hints
     * are stable. Returns the empty string if no names are known.
     */
    static String nearest(String name, Collection<String> known) {
        String best = "";
        int smallestDistance = Integer.MAX_VALUE;
        String truncated =
                name.length() > MAX_NAME_CHARS ? name.substring(0, MAX_NAME_CHARS) : name;
        for (String candidate : known) {
            int lengthDifference = Math.abs(candidate.length() - truncated.length());
            int distance =
                    lengthDifference >= smallestDistance
                            ? smallestDistance
                            : distance(truncated, candidate);
            if (distance < smallestDistance) {
                smallestDistance = distance;
                best = candidate;
            }
        }
        return best;
    }

    /** Returns the Levenshtein distance, ignoring case. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                boolean isSame =
                        Character.toLowerCase(a.charAt(i - 1))
                                == Character.toLowerCase(b.charAt(j - 1));
                int substitution = diagonal + (isSame ? 0 : 1);
                row[j] = Math.min(substitution, Math.min(above, row[j - 1]) + 1);
                diagonal = above;
            }
        }
        return row[b.length()];
    }
}
