package milletyoke.scenario.script;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a script: plain words, and words with a value as in {@code for=3s}; a value may be a
 * range, 1s..2s.
 */
final class Tokenizer {
    private static final Pattern NUMBER =
            Pattern.compile("(-?[0-9]+(?:\\.[0-9]+)?)(us|ms|s|min|%|/s|)");

    private final String place;
    private final List<String> words = new ArrayList<>();
    private final Map<String, String> options = new LinkedHashMap<>();
    private final Set<String> requestedOptions = new HashSet<>();
    private int nextWord;

    Tokenizer(String file, int line, String text) throws ScenarioFormatException {
        place = file + ":" + line + ": ";
        for (String word : text.trim().split("\\s+")) {
            int equals = word.indexOf('=');
            if (word.isEmpty()) {
                continue;
            }
            if (equals < 0) {
                words.add(word);
            } else if (options.put(word.substring(0, equals), word.substring(equals + 1)) != null) {
                throw error(word.substring(0, equals) + " stands there twice");
            }
        }
    }

    ScenarioFormatException error(String what) {
        return new ScenarioFormatException(place + what);
    }

    /** The next plain word; null where there is none. */
    String next() {
        return nextWord < words.size() ? words.get(nextWord++) : null;
    }

    String next(String what) throws ScenarioFormatException {
        String word = next();
        if (word == null) {
            throw error(what + " is missing");
        }
        return word;
    }

    /** Whether a plain word stands anywhere on the rest of the line; it counts as asked for. */
    boolean flag(String word) {
        int at = words.subList(nextWord, words.size()).indexOf(word);
        if (at >= 0) {
            words.remove(nextWord + at);
        }
        return at >= 0;
    }

    boolean has(String name) {
        return options.containsKey(name);
    }

    String text(String name, String usual) throws ScenarioFormatException {
        requestedOptions.add(name);
        String value = options.getOrDefault(name, usual);
        if (value == null) {
            throw error(name + "= is missing");
        }
        return value;
    }

    /** Microseconds; {@code usual} null where it must be there. */
    long time(String name, String usual) throws ScenarioFormatException {
        return time(name, text(name, usual), true);
    }

    /** Least and most, the same where one figure stands there (microseconds). */
    long[] timeRange(String name, String usual) throws ScenarioFormatException {
        String[] ends = text(name, usual).split("\\.\\.", 2);
        long least = time(name, ends[0], true);
        long most = time(name, ends[ends.length - 1], true);
        if (most < least) {
            throw error(name + ": " + ends[0] + " is more than " + ends[1]);
        }
        return new long[] {least, most};
    }

    long time(String name, String text, boolean zero) throws ScenarioFormatException {
        Matcher m = NUMBER.matcher(text);
        double factor =
                !m.matches()
                        ? -1
                        : switch (m.group(2)) {
                            case "us" -> 1;
                            case "ms" -> 1e3;
                            case "s" -> 1e6;
                            case "min" -> 60e6;
                            default -> m.group(1).equals("0") && zero ? 1 : -1;
                        };
        if (factor < 0 || Double.parseDouble(m.group(1)) < 0) {
            throw error(name + ": a time as 250ms is expected, not " + text);
        }
        return Math.round(Double.parseDouble(m.group(1)) * factor);
    }

    /** A part of a whole, as 40% or 0.4. */
    double fraction(String name, String usual) throws ScenarioFormatException {
        return fraction(name, text(name, usual), 1);
    }

    double fraction(String name, String text, double most) throws ScenarioFormatException {
        Matcher m = NUMBER.matcher(text);
        if (!m.matches() || !(m.group(2).equals("%") || m.group(2).isEmpty())) {
            throw error(name + ": a part as 40% is expected, not " + text);
        }
        double part = Double.parseDouble(m.group(1)) / (m.group(2).equals("%") ? 100 : 1);
        if (part < 0 || part > most) {
            throw error(
                    name + ": " + text + " is out of range, 0% to " + (int) (100 * most) + "% is");
        }
        return part;
    }

    double number(String name, String usual) throws ScenarioFormatException {
        return number(name, text(name, usual), "");
    }

    double number(String name, String text, String unit) throws ScenarioFormatException {
        Matcher m = NUMBER.matcher(text);
        if (!m.matches() || !m.group(2).equals(unit)) {
            throw error(
                    name
                            + ": a number"
                            + (unit.isEmpty() ? "" : " with " + unit)
                            + " is expected, not "
                            + text);
        }
        return Double.parseDouble(m.group(1));
    }

    double[] numberRange(String name, String usual) throws ScenarioFormatException {
        String[] ends = text(name, usual).split("\\.\\.", 2);
        return new double[] {number(name, ends[0], ""), number(name, ends[ends.length - 1], "")};
    }

    int wholeNumber(String name, String usual) throws ScenarioFormatException {
        double figure = number(name, usual);
        if (figure != Math.rint(figure) || figure < 0 || figure > 1e9) {
            throw error(name + ": a whole number is expected, not " + figure);
        }
        return (int) figure;
    }

    /** To be called last: what was never asked for is not known here. */
    void expectEnd() throws ScenarioFormatException {
        if (nextWord < words.size()) {
            throw error("\"" + words.get(nextWord) + "\" has no meaning here");
        }
        for (String name : options.keySet()) {
            if (!requestedOptions.contains(name)) {
                throw error(
                        name
                                + "= is not known here"
                                + (requestedOptions.isEmpty()
                                        ? ""
                                        : "; known are "
                                                + String.join(
                                                        ", ", new TreeSet<>(requestedOptions))));
            }
        }
    }
}
