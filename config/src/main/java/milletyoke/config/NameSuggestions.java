package milletyoke.config;

import java.util.Collection;

/** Names that look alike. */
final class NameSuggestions {
    private static final int MAX_NAME_CHARS = 64;

    private NameSuggestions() {}

    /**
     * The known name with the fewest changes; the first of equals, so the same hint comes each
     * time.
     */
    static String nearest(String name, Collection<String> known) {
        String best = "";
        int least = Integer.MAX_VALUE;
        String bounded = name.length() > MAX_NAME_CHARS ? name.substring(0, MAX_NAME_CHARS) : name;
        for (String k : known) {
            int d = Math.abs(k.length() - bounded.length()) >= least ? least : distance(bounded, k);
            if (d < least) {
                least = d;
                best = k;
            }
        }
        return best;
    }

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
                int change =
                        diagonal
                                + (Character.toLowerCase(a.charAt(i - 1))
                                                == Character.toLowerCase(b.charAt(j - 1))
                                        ? 0
                                        : 1);
                row[j] = Math.min(change, Math.min(above, row[j - 1]) + 1);
                diagonal = above;
            }
        }
        return row[b.length()];
    }
}
