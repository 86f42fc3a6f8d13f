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
 * Splits one line of a script into plain words and options such as {@code for=3s}, and converts
 * their values. A value may be a range such as 1s..2s.
 */
final class Tokenizer {
    private static final Pattern NUMBER =
            Pattern.compile("(-?[0-9]+(?:\\.[0-9]+)?)(us|ms|s|min|%|/s|)");

    private final String location;
    private final List<String> words = new ArrayList<>();
    private final Map<String, String> options = new LinkedHashMap<>();
    private final Set<String> requestedOptions = new HashSet<>();
    private int nextWord;

    Tokenizer(String file, int line, String text) throws ScenarioFormatException {
        location = file + ":" + line + ": ";
        for (String word : text.trim().split("\\s+")) {
            int equals = word.indexOf('=');
            if (word.isEmpty()) {
                continue;
            }
            if (equals < 0) {
                words.add(word);
            } else if (options.put(word.substring(0, equals), word.substring(equals + 1)) != null) {
                throw error(word.substring(0, equals) + "= is given twice");
            }
        }
    }

    ScenarioFormatException error(String message) {
        return new ScenarioFormatException(location + message);
    }

    /** Returns the next plain word; null if there is none. */
    String next() {
        return nextWord < words.size() ? words.get(nextWord++) : null;
    }

    /**
     * Returns the next plain word.
     *
     * @param expected describes the word, for the message if it is missing
     */
    String next(String expected) throws ScenarioFormatException {
        String word = next();
        if (word == null) {
            throw error(expected + " is missing");
        }
        return word;
    }

    /** Removes a plain word from the rest of the line; returns whether it was there. */
    boolean flag(String word) {
        int index = words.subList(nextWord, words.size()).indexOf(word);
        if (index >= 0) {
            words.remove(nextWord + index);
        }
        return index >= 0;
    }

    boolean has(String name) {
        return options.containsKey(name);
    }

    /**
     * Returns the value of an option.
     *
     * @param defaultValue null if the option is required
     */
    String text(String name, String defaultValue) throws ScenarioFormatException {
        requestedOptions.add(name);
        String value = options.getOrDefault(name, defaultValue);
        if (value == null) {
            throw error(name + "= is missing");
        }
        return value;
    }

    /** Returns a time option in microseconds; a null {@code defaultValue} makes it required. */
    long time(String name, String defaultValue) throws ScenarioFormatException {
        return time(name, text(name, defaultValue), true);
    }

    /** Returns the ends of a time range in microseconds; both are the same for a single value. */
    long[] timeRange(String name, String defaultValue) throws ScenarioFormatException {
        String[] bounds = text(name, defaultValue).split("\\.\\.", 2);
        long min = time(name, bounds[0], true);
        long max = time(name, bounds[bounds.length - 1], true);
        if (max < min) {
            throw error(name + ": " + bounds[0] + " is greater than " + bounds[1]);
        }
        return new long[] {min, max};
    }

    long time(String name, String text, boolean allowsBareZero) throws ScenarioFormatException {
        Matcher matcher = NUMBER.matcher(text);
        double factor =
                !matcher.matches()
                        ? -1
                        : switch (matcher.group(2)) {
                            case "us" -> 1;
                            case "ms" -> 1e3;
                            case "s" -> 1e6;
                            case "min" -> 60e6;
                            default -> matcher.group(1).equals("0") && allowsBareZero ? 1 : -1;
                        };
        if (factor < 0 || Double.parseDouble(matcher.group(1)) < 0) {
            throw error(name + ": expected a time such as 250ms, not " + text);
        }
        return Math.round(Double.parseDouble(matcher.group(1)) * factor);
    }

    /** Returns a fraction from 0 to 1, written as 40% or 0.4. */
    double fraction(String name, String defaultValue) throws ScenarioFormatException {
        return fraction(name, text(name, defaultValue), 1);
    }

    double fraction(String name, String text, double max) throws ScenarioFormatException {
        Matcher matcher = NUMBER.matcher(text);
        if (!matcher.matches() || !(matcher.group(2).equals("%") || matcher.group(2).isEmpty())) {
            throw error(name + ": expected a fraction such as 40%, not " + text);
        }
        double fraction =
                Double.parseDouble(matcher.group(1)) / (matcher.group(2).equals("%") ? 100 : 1);
        if (fraction < 0 || fraction > max) {
            throw error(
                    name
                            + ": "
                            + text
                            + " is out of range, allowed is 0% to "
                            + (int) (100 * max)
                            + "%");
        }
        return fraction;
    }

    double number(String name, String defaultValue) throws ScenarioFormatException {
        return number(name, text(name, defaultValue), "");
    }

    double number(String name, String text, String unit) throws ScenarioFormatException {
        Matcher matcher = NUMBER.matcher(text);
        if (!matcher.matches() || !matcher.group(2).equals(unit)) {
            throw error(
                    name
                            + ": expected a number"
                            + (unit.isEmpty() ? "" : " with the unit " + unit)
                            + ", not "
                            + text);
        }
        return Double.parseDouble(matcher.group(1));
    }

    double[] numberRange(String name, String defaultValue) throws ScenarioFormatException {
        String[] bounds = text(name, defaultValue).split("\\.\\.", 2);
        return new double[] {
            number(name, bounds[0], ""), number(name, bounds[bounds.length - 1], "")
        };
    }

    int wholeNumber(String name, String defaultValue) throws ScenarioFormatException {
        double value = number(name, defaultValue);
        if (value != Math.rint(value) || value < 0 || value > 1e9) {
            throw error(name + ": expected a whole number from 0 to 1e9, not " + value);
        }
        return (int) value;
    }

    /** Rejects the words and options that were not read; to be called last. */
    void expectEnd() throws ScenarioFormatException {
        if (nextWord < words.size()) {
            throw error("\"" + words.get(nextWord) + "\" is not expected here");
        }
        for (String name : options.keySet()) {
            if (!requestedOptions.contains(name)) {
                throw error(
                        name
                                + "= is not an option here"
                                + (requestedOptions.isEmpty()
                                        ? ""
                                        : "; options are "
                                                + String.join(
                                                        ", ", new TreeSet<>(requestedOptions))));
            }
        }
    }
}
