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
    private static final Pattern FIGURE =
            Pattern.compile("(-?[0-9]+(?:\\.[0-9]+)?)(us|ms|s|min|%|/s|)");

    private final String place;
    private final List<String> plain = new ArrayList<>();
    private final Map<String, String> named = new LinkedHashMap<>();
    private final Set<String> asked = new HashSet<>();
    private int plainAsked;

    Tokenizer(String file, int line, String text) throws ScenarioFormatException {
        place = file + ":" + line + ": ";
        for (String word : text.trim().split("\\s+")) {
            int equals = word.indexOf('=');
            if (word.isEmpty()) {
                continue;
            }
            if (equals < 0) {
                plain.add(word);
            } else if (named.put(word.substring(0, equals), word.substring(equals + 1)) != null) {
                throw wrong(word.substring(0, equals) + " stands there twice");
            }
        }
    }

    ScenarioFormatException wrong(String what) {
        return new ScenarioFormatException(place + what);
    }

    /** The next plain word; null where there is none. */
    String next() {
        return plainAsked < plain.size() ? plain.get(plainAsked++) : null;
    }

    String next(String what) throws ScenarioFormatException {
        String word = next();
        if (word == null) {
            throw wrong(what + " is missing");
        }
        return word;
    }

    /** Whether a plain word stands anywhere on the rest of the line; it counts as asked for. */
    boolean flag(String word) {
        int at = plain.subList(plainAsked, plain.size()).indexOf(word);
        if (at >= 0) {
            plain.remove(plainAsked + at);
        }
        return at >= 0;
    }

    boolean has(String name) {
        return named.containsKey(name);
    }

    String text(String name, String usual) throws ScenarioFormatException {
        asked.add(name);
        String value = named.getOrDefault(name, usual);
        if (value == null) {
            throw wrong(name + "= is missing");
        }
        return value;
    }

    /** Microseconds; {@code usual} null where it must be there. */
    long time(String name, String usual) throws ScenarioFormatException {
        return time(name, text(name, usual), true);
    }

    /** Least and most, the same where one figure stands there (microseconds). */
    long[] times(String name, String usual) throws ScenarioFormatException {
        String[] ends = text(name, usual).split("\\.\\.", 2);
        long least = time(name, ends[0], true);
        long most = time(name, ends[ends.length - 1], true);
        if (most < least) {
            throw wrong(name + ": " + ends[0] + " is more than " + ends[1]);
        }
        return new long[] {least, most};
    }

    long time(String name, String text, boolean zero) throws ScenarioFormatException {
        Matcher m = FIGURE.matcher(text);
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
            throw wrong(name + ": a time as 250ms is expected, not " + text);
        }
        return Math.round(Double.parseDouble(m.group(1)) * factor);
    }

    /** A part of a whole, as 40% or 0.4. */
    double part(String name, String usual) throws ScenarioFormatException {
        return part(name, text(name, usual), 1);
    }

    double part(String name, String text, double most) throws ScenarioFormatException {
        Matcher m = FIGURE.matcher(text);
        if (!m.matches() || !(m.group(2).equals("%") || m.group(2).isEmpty())) {
            throw wrong(name + ": a part as 40% is expected, not " + text);
        }
        double part = Double.parseDouble(m.group(1)) / (m.group(2).equals("%") ? 100 : 1);
        if (part < 0 || part > most) {
            throw wrong(
                    name + ": " + text + " is out of range, 0% to " + (int) (100 * most) + "% is");
        }
        return part;
    }

    double figure(String name, String usual) throws ScenarioFormatException {
        return figure(name, text(name, usual), "");
    }

    double figure(String name, String text, String unit) throws ScenarioFormatException {
        Matcher m = FIGURE.matcher(text);
        if (!m.matches() || !m.group(2).equals(unit)) {
            throw wrong(
                    name
                            + ": a number"
                            + (unit.isEmpty() ? "" : " with " + unit)
                            + " is expected, not "
                            + text);
        }
        return Double.parseDouble(m.group(1));
    }

    double[] figures(String name, String usual) throws ScenarioFormatException {
        String[] ends = text(name, usual).split("\\.\\.", 2);
        return new double[] {figure(name, ends[0], ""), figure(name, ends[ends.length - 1], "")};
    }

    int whole(String name, String usual) throws ScenarioFormatException {
        double figure = figure(name, usual);
        if (figure != Math.rint(figure) || figure < 0 || figure > 1e9) {
            throw wrong(name + ": a whole number is expected, not " + figure);
        }
        return (int) figure;
    }

    /** To be called last: what was never asked for is not known here. */
    void done() throws ScenarioFormatException {
        if (plainAsked < plain.size()) {
            throw wrong("\"" + plain.get(plainAsked) + "\" has no meaning here");
        }
        for (String name : named.keySet()) {
            if (!asked.contains(name)) {
                throw wrong(
                        name
                                + "= is not known here"
                                + (asked.isEmpty()
                                        ? ""
                                        : "; known are "
                                                + String.join(", ", new TreeSet<>(asked))));
            }
        }
    }
}
