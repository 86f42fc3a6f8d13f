package milletyoke.gateway.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import milletyoke.scheduler.api.Keyword;

/**
 * Reads an object of a settings file field by field. Each field is read once with its type, range
 * and default; {@link #rejectUnknown} then fails on the first field that was never read. Times are
 * strings with a unit and are returned in microseconds.
 *
 * <p>Not thread-safe.
 */
public final class SettingsReader {
    private static final Pattern TIME_PATTERN =
            Pattern.compile("([0-9]+(?:\\.[0-9]+)?) ?(us|ms|s|min|h)");
    private static final Map<String, Double> MICROS_PER_UNIT =
            Map.of("us", 1.0, "ms", 1e3, "s", 1e6, "min", 60e6, "h", 3600e6);
    private static final double MAX_TIME_MICROS = 100 * 3600e6;
    private static final int MAX_TEXT_LENGTH = 4096;

    /** Integers below this are exact in a double and are printed without a fraction. */
    private static final double MAX_EXACT_INTEGER = 1e15;

    private final String source;
    private final String path;
    private final Json5Value object;
    private final Set<String> knownFields = new HashSet<>();

    private SettingsReader(String source, String path, Json5Value object) throws ConfigException {
        this.source = source;
        this.path = path;
        this.object = object;
        if (object.object() == null) {
            throw error(
                    object,
                    path.isEmpty() ? "the document" : path,
                    "an object is expected, not " + object.kind());
        }
    }

    /**
     * Reads the object in a file.
     *
     * @throws ConfigException if the file cannot be read or does not hold an object
     */
    public static SettingsReader read(Path file) throws ConfigException {
        return new SettingsReader(file.toString(), "", Json5Parser.read(file));
    }

    /**
     * Reads the object in a string.
     *
     * @param source name of the text in error messages
     * @throws ConfigException if the text does not hold an object
     */
    public static SettingsReader of(String source, String text) throws ConfigException {
        return new SettingsReader(source, "", Json5Parser.read(source, text));
    }

    private ConfigException error(Json5Value location, String field, String message) {
        return new ConfigException(source + ":" + location.line() + ": " + field + ": " + message);
    }

    /**
     * Returns an error located at a field of this object, or at the object itself where the field
     * is absent.
     */
    public ConfigException error(String field, String message) {
        return error(object.object().getOrDefault(field, object), path + field, message);
    }

    private Json5Value lookUp(String field, boolean isRequired) throws ConfigException {
        knownFields.add(field);
        Json5Value value = object.object().get(field);
        if (value == null && isRequired) {
            throw error(object, path + field, "is missing");
        }
        return value;
    }

    /** Returns whether the field is present, whatever its value. */
    public boolean has(String field) {
        return object.object().containsKey(field);
    }

    /**
     * Reads a string of 1 to {@value #MAX_TEXT_LENGTH} characters.
     *
     * @param defaultValue null where the field is required
     */
    public String text(String field, String defaultValue) throws ConfigException {
        Json5Value value = lookUp(field, defaultValue == null);
        if (value == null) {
            return defaultValue;
        }
        if (!(value.scalar() instanceof String text)) {
            throw error(value, path + field, "text is expected, not " + value.kind());
        }
        if (text.isBlank() || text.length() > MAX_TEXT_LENGTH) {
            throw error(
                    value,
                    path + field,
                    "text of 1 to " + MAX_TEXT_LENGTH + " characters is expected");
        }
        return text;
    }

    /**
     * Reads a keyword of an enum and returns its constant.
     *
     * @param defaultValue null where the field is required
     */
    public <E extends Enum<E>> E keyword(String field, Class<E> type, E defaultValue)
            throws ConfigException {
        Json5Value value = lookUp(field, defaultValue == null);
        if (value == null) {
            return defaultValue;
        }
        String text = value.scalar() instanceof String string ? string : "";
        List<String> keywords = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String keyword = Keyword.of(constant);
            keywords.add(keyword);
            if (keyword.equals(text)) {
                return constant;
            }
        }
        throw error(value, path + field, "one of " + String.join(", ", keywords) + " is expected");
    }

    /** Reads true or false. */
    public boolean flag(String field, boolean defaultValue) throws ConfigException {
        Json5Value value = lookUp(field, false);
        if (value == null) {
            return defaultValue;
        }
        if (!(value.scalar() instanceof Boolean flag)) {
            throw error(value, path + field, "true or false is expected, not " + value.kind());
        }
        return flag;
    }

    /**
     * Reads a number from {@code min} to {@code max}.
     *
     * @param defaultValue NaN where the field is required
     */
    public double number(String field, double defaultValue, double min, double max)
            throws ConfigException {
        Json5Value value = lookUp(field, Double.isNaN(defaultValue));
        if (value == null) {
            return defaultValue;
        }
        if (!(value.scalar() instanceof Double number)) {
            throw error(value, path + field, "a number is expected, not " + value.kind());
        }
        if (!(number >= min && number <= max)) {
            String range = formatNumber(min) + " to " + formatNumber(max);
            throw error(
                    value,
                    path + field,
                    formatNumber(number) + " is out of range, " + range + " is expected");
        }
        return number;
    }

    /**
     * Reads an integer from {@code min} to {@code max}.
     *
     * @param defaultValue {@link Integer#MIN_VALUE} where the field is required
     */
    public int integer(String field, int defaultValue, int min, int max) throws ConfigException {
        boolean isRequired = defaultValue == Integer.MIN_VALUE;
        double number = number(field, isRequired ? Double.NaN : defaultValue, min, max);
        if (number != Math.rint(number)) {
            throw error(field, "a whole number is expected, not " + number);
        }
        return (int) number;
    }

    /**
     * Reads a time of at most 100 hours, such as {@code "250 ms"}; {@code "0"} needs no unit.
     *
     * @param defaultValue in the notation of the file; null where the field is required
     * @return microseconds
     */
    public long timeMicros(String field, String defaultValue) throws ConfigException {
        Json5Value value = lookUp(field, defaultValue == null);
        String text = value == null ? defaultValue : textOrEmpty(value);
        if (text.equals("0")) {
            return 0;
        }
        Matcher matcher = TIME_PATTERN.matcher(text);
        if (!matcher.matches()) {
            Json5Value location = value == null ? object : value;
            throw error(location, path + field, timeExpectedMessage(value));
        }
        double number = Double.parseDouble(matcher.group(1));
        double micros = number * MICROS_PER_UNIT.get(matcher.group(2));
        if (micros > MAX_TIME_MICROS) {
            throw error(field, text + " exceeds the maximum of 100 h");
        }
        return Math.round(micros);
    }

    private static String textOrEmpty(Json5Value value) {
        return value.scalar() instanceof String text ? text : "";
    }

    private static String timeExpectedMessage(Json5Value value) {
        Object found = value.scalar() == null ? value.kind() : value.scalar();
        return "a time with its unit is expected, as \"250 ms\" (us, ms, s, min, h), not " + found;
    }

    /** Reads a required object. */
    public SettingsReader object(String field) throws ConfigException {
        return new SettingsReader(source, path + field + ".", lookUp(field, true));
    }

    /** Reads an optional object; where it is absent, all of its fields have their defaults. */
    public SettingsReader optionalObject(String field) throws ConfigException {
        Json5Value value = lookUp(field, false);
        Json5Value present = value == null ? Json5Value.ofObject(object.line(), Map.of()) : value;
        return new SettingsReader(source, path + field + ".", present);
    }

    /**
     * Reads a list of objects.
     *
     * @param isRequired false where an absent field means an empty list
     */
    public List<SettingsReader> objects(String field, boolean isRequired) throws ConfigException {
        Json5Value value = lookUp(field, isRequired);
        List<SettingsReader> readers = new ArrayList<>();
        if (value == null) {
            return readers;
        }
        if (value.list() == null) {
            throw error(value, path + field, "a list is expected, not " + value.kind());
        }
        for (Json5Value element : value.list()) {
            String elementPath = path + field + "[" + readers.size() + "].";
            readers.add(new SettingsReader(source, elementPath, element));
        }
        return readers;
    }

    /**
     * Reads a socket address, {@code host:port}.
     *
     * @param defaultValue null where the field is required
     */
    public Address address(String field, String defaultValue) throws ConfigException {
        String text = text(field, defaultValue);
        try {
            return Address.of(text);
        } catch (IllegalArgumentException malformed) {
            throw error(field, malformed.getMessage());
        }
    }

    /**
     * Fails on the first field that was never read. Must be called after all fields were read.
     *
     * @throws ConfigException if there is such a field; names it and the known fields
     */
    public void rejectUnknown() throws ConfigException {
        for (Map.Entry<String, Json5Value> field : object.object().entrySet()) {
            if (!knownFields.contains(field.getKey())) {
                throw error(
                        field.getValue(),
                        path + field.getKey(),
                        "unknown field; known fields are "
                                + String.join(", ", new TreeSet<>(knownFields)));
            }
        }
    }

    private static String formatNumber(double number) {
        boolean isInteger = number == Math.rint(number) && Math.abs(number) < MAX_EXACT_INTEGER;
        return isInteger ? Long.toString((long) number) : Double.toString(number);
    }
}
