package milletyoke.gateway.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import milletyoke.scheduler.api.Keyword;

/**
 * One object of a setup, read field by field: each field is asked for once with its type, bounds
 * and default, and at the end what was never asked for is an error. Times are text with a unit and
 * come out as microseconds.
 */
public final class SettingsReader {
    private static final Pattern TIME_PATTERN =
            Pattern.compile("([0-9]+(?:\\.[0-9]+)?) ?(us|ms|s|min|h)");
    private static final Map<String, Double> MICROS_PER_UNIT =
            Map.of("us", 1.0, "ms", 1e3, "s", 1e6, "min", 60e6, "h", 3600e6);
    private static final double MAX_TIME_MICROS = 100 * 3600e6;

    private final String source;
    private final String path;
    private final Json5Parser.Value self;
    private final Set<String> knownFields = new HashSet<>();

    private SettingsReader(String source, String path, Json5Parser.Value self)
            throws ConfigException {
        this.source = source;
        this.path = path;
        this.self = self;
        if (self.object() == null) {
            throw error(
                    self,
                    path.isEmpty() ? "the setup" : path,
                    "an object is expected, not " + self.kind());
        }
    }

    public static SettingsReader read(Path file) throws ConfigException {
        return new SettingsReader(file.toString(), "", Json5Parser.read(file));
    }

    public static SettingsReader of(String source, String text) throws ConfigException {
        return new SettingsReader(source, "", Json5Parser.read(source, text));
    }

    private ConfigException error(Json5Parser.Value at, String field, String what) {
        return new ConfigException(source + ":" + at.line() + ": " + field + ": " + what);
    }

    /** An error at a field of this object, or at the object where the field is absent. */
    public ConfigException error(String field, String what) {
        return error(self.object().getOrDefault(field, self), path + field, what);
    }

    private Json5Parser.Value lookUp(String field, boolean needed) throws ConfigException {
        knownFields.add(field);
        Json5Parser.Value value = self.object().get(field);
        if (value == null && needed) {
            throw error(self, path + field, "is missing");
        }
        return value;
    }

    public boolean has(String field) {
        return self.object().containsKey(field);
    }

    /**
     * @param usual null where the field must be there
     */
    public String text(String field, String usual) throws ConfigException {
        Json5Parser.Value value = lookUp(field, usual == null);
        if (value == null) {
            return usual;
        }
        if (!(value.scalar() instanceof String text)) {
            throw error(value, path + field, "text is expected, not " + value.kind());
        }
        if (text.isBlank() || text.length() > 4096) {
            throw error(value, path + field, "text of 1 to 4096 characters is expected");
        }
        return text;
    }

    public <E extends Enum<E>> E keyword(String field, Class<E> words, E usual)
            throws ConfigException {
        Json5Parser.Value value = lookUp(field, usual == null);
        if (value == null) {
            return usual;
        }
        String text = value.scalar() instanceof String s ? s : "";
        List<String> known = new ArrayList<>();
        for (E word : words.getEnumConstants()) {
            String name = Keyword.of(word);
            known.add(name);
            if (name.equals(text)) {
                return word;
            }
        }
        throw error(value, path + field, "one of " + String.join(", ", known) + " is expected");
    }

    public boolean flag(String field, boolean usual) throws ConfigException {
        Json5Parser.Value value = lookUp(field, false);
        if (value == null) {
            return usual;
        }
        if (!(value.scalar() instanceof Boolean flag)) {
            throw error(value, path + field, "true or false is expected, not " + value.kind());
        }
        return flag;
    }

    /**
     * @param usual NaN where the field must be there
     */
    public double number(String field, double usual, double least, double most)
            throws ConfigException {
        Json5Parser.Value value = lookUp(field, Double.isNaN(usual));
        if (value == null) {
            return usual;
        }
        if (!(value.scalar() instanceof Double figure)) {
            throw error(value, path + field, "a number is expected, not " + value.kind());
        }
        if (!(figure >= least && figure <= most)) {
            throw error(
                    value,
                    path + field,
                    formatNumber(figure)
                            + " is out of range, "
                            + formatNumber(least)
                            + " to "
                            + formatNumber(most)
                            + " is");
        }
        return figure;
    }

    /**
     * @param usual Integer.MIN_VALUE where the field must be there
     */
    public int integer(String field, int usual, int least, int most) throws ConfigException {
        double figure = number(field, usual == Integer.MIN_VALUE ? Double.NaN : usual, least, most);
        if (figure != Math.rint(figure)) {
            throw error(field, "a whole number is expected, not " + figure);
        }
        return (int) figure;
    }

    /**
     * Microseconds. @param usual null where the field must be there, else a time as it would be
     * written
     */
    public long timeMicros(String field, String usual) throws ConfigException {
        Json5Parser.Value value = lookUp(field, usual == null);
        String text = value == null ? usual : value.scalar() instanceof String s ? s : "";
        if (text.equals("0")) {
            return 0;
        }
        Matcher m = TIME_PATTERN.matcher(text);
        if (!m.matches()) {
            throw error(
                    value == null ? self : value,
                    path + field,
                    "a time with its unit is expected, as \"250 ms\" (us, ms, s, min, h), not "
                            + (value.scalar() == null ? value.kind() : value.scalar()));
        }
        double micros = Double.parseDouble(m.group(1)) * MICROS_PER_UNIT.get(m.group(2));
        if (micros > MAX_TIME_MICROS) {
            throw error(field, text + " is over 100 h");
        }
        return Math.round(micros);
    }

    public SettingsReader object(String field) throws ConfigException {
        return new SettingsReader(source, path + field + ".", lookUp(field, true));
    }

    /** An object that may be left out: all of its fields then have their defaults. */
    public SettingsReader optionalObject(String field) throws ConfigException {
        Json5Parser.Value value = lookUp(field, false);
        return new SettingsReader(
                source,
                path + field + ".",
                value == null ? new Json5Parser.Value(self.line(), Map.of(), null, null) : value);
    }

    public List<SettingsReader> objects(String field, boolean needed) throws ConfigException {
        Json5Parser.Value value = lookUp(field, needed);
        List<SettingsReader> forms = new ArrayList<>();
        if (value == null) {
            return forms;
        }
        if (value.list() == null) {
            throw error(value, path + field, "a list is expected, not " + value.kind());
        }
        for (Json5Parser.Value one : value.list()) {
            forms.add(new SettingsReader(source, path + field + "[" + forms.size() + "].", one));
        }
        return forms;
    }

    /** A socket address as host:port. */
    public Address address(String field, String usual) throws ConfigException {
        String text = text(field, usual);
        try {
            return Address.of(text);
        } catch (IllegalArgumentException bad) {
            throw error(field, bad.getMessage());
        }
    }

    /** To be called last: what was never asked for is not known. */
    public void rejectUnknown() throws ConfigException {
        for (Map.Entry<String, Json5Parser.Value> field : self.object().entrySet()) {
            if (!knownFields.contains(field.getKey())) {
                throw error(
                        field.getValue(),
                        path + field.getKey(),
                        "is not known here; known are "
                                + String.join(", ", new java.util.TreeSet<>(knownFields)));
            }
        }
    }

    private static String formatNumber(double figure) {
        return figure == Math.rint(figure) && Math.abs(figure) < 1e15
                ? Long.toString((long) figure)
                : Double.toString(figure);
    }
}
