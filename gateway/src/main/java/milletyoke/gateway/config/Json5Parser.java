package milletyoke.gateway.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON5 into a tree in which every value knows its line, so that a finding can name it. */
final class Json5Parser {
    private static final JsonFactory JSON5 =
            new JsonFactoryBuilder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES)
                    .enable(JsonReadFeature.ALLOW_SINGLE_QUOTES)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(JsonReadFeature.ALLOW_LEADING_PLUS_SIGN_FOR_NUMBERS)
                    .enable(JsonReadFeature.ALLOW_LEADING_DECIMAL_POINT_FOR_NUMBERS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_DECIMAL_POINT_FOR_NUMBERS)
                    .enable(JsonReadFeature.ALLOW_BACKSLASH_ESCAPING_ANY_CHARACTER)
                    .configure(
                            com.fasterxml.jackson.core.StreamReadFeature.STRICT_DUPLICATE_DETECTION,
                            true)
                    .build();

    /** A setup is written by hand; more than this is not one. */
    private static final long MAX_FILE_BYTES = 4 << 20;

    /** A value and where it stands; exactly one of object, list and scalar is set. */
    record Value(int line, Map<String, Value> object, List<Value> list, Object scalar) {
        String kind() {
            return object != null
                    ? "an object"
                    : list != null
                            ? "a list"
                            : scalar == null
                                    ? "null"
                                    : scalar instanceof String
                                            ? "text"
                                            : scalar instanceof Boolean
                                                    ? "true or false"
                                                    : "a number";
        }
    }

    private final String source;
    private final JsonParser in;

    private Json5Parser(String source, JsonParser in) {
        this.source = source;
        this.in = in;
    }

    static Value read(Path file) throws ConfigException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new ConfigException(
                        file + ": over " + MAX_FILE_BYTES + " bytes, not a setup");
            }
            return read(file.toString(), Files.readString(file));
        } catch (java.nio.file.NoSuchFileException missing) {
            throw new ConfigException(file + ": there is no such file");
        } catch (IOException unreadable) {
            throw new ConfigException(file + ": cannot be read: " + unreadable.getMessage());
        }
    }

    static Value read(String source, String text) throws ConfigException {
        try (JsonParser in = JSON5.createParser(text)) {
            Json5Parser reader = new Json5Parser(source, in);
            in.nextToken();
            if (in.currentToken() == null) {
                throw new ConfigException(source + ":1: empty");
            }
            Value all = reader.value();
            if (in.nextToken() != null) {
                throw new ConfigException(
                        source + ":" + reader.line() + ": something stands behind the end");
            }
            return all;
        } catch (JsonProcessingException bad) {
            int line = bad.getLocation() == null ? 1 : bad.getLocation().getLineNr();
            throw new ConfigException(
                    source + ":" + line + ": " + bad.getOriginalMessage().replaceAll("\\s+", " "));
        } catch (IOException impossible) {
            throw new ConfigException(source + ": " + impossible.getMessage());
        }
    }

    private int line() {
        return in.currentTokenLocation().getLineNr();
    }

    private Value value() throws IOException, ConfigException {
        int line = line();
        return switch (in.currentToken()) {
            case START_OBJECT -> new Value(line, object(), null, null);
            case START_ARRAY -> new Value(line, null, list(), null);
            case VALUE_STRING -> new Value(line, null, null, in.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                    new Value(line, null, null, in.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> new Value(line, null, null, in.getBooleanValue());
            case VALUE_NULL -> new Value(line, null, null, null);
            default ->
                    throw new ConfigException(source + ":" + line + ": unexpected " + in.getText());
        };
    }

    private Map<String, Value> object() throws IOException, ConfigException {
        Map<String, Value> fields = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            in.nextToken();
            fields.put(name, value());
        }
        return fields;
    }

    private List<Value> list() throws IOException, ConfigException {
        List<Value> values = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            values.add(value());
        }
        return values;
    }
}
