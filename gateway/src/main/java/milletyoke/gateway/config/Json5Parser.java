package milletyoke.gateway.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON5 into a tree in which every value knows its line, so that errors can name it. */
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
                    .configure(StreamReadFeature.STRICT_DUPLICATE_DETECTION, true)
                    .build();

    /** Settings are written by hand; a larger file is some other file. */
    private static final long MAX_FILE_BYTES = 4 << 20;

    private final String source;
    private final JsonParser parser;

    private Json5Parser(String source, JsonParser parser) {
        this.source = source;
        this.parser = parser;
    }

    /**
     * Parses a file.
     *
     * @throws ConfigException where the file cannot be read or is not one JSON5 value
     */
    static Json5Value read(Path file) throws ConfigException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new ConfigException(
                        file + ": over " + MAX_FILE_BYTES + " bytes, not a setup");
            }
            return read(file.toString(), Files.readString(file));
        } catch (NoSuchFileException missing) {
            throw new ConfigException(file + ": there is no such file");
        } catch (IOException unreadable) {
            throw new ConfigException(file + ": cannot be read: " + unreadable.getMessage());
        }
    }

    /**
     * Parses a text.
     *
     * @param source names the text in error messages
     * @throws ConfigException where the text is not one JSON5 value
     */
    static Json5Value read(String source, String text) throws ConfigException {
        try (JsonParser parser = JSON5.createParser(text)) {
            return new Json5Parser(source, parser).document();
        } catch (JsonProcessingException malformed) {
            int line = malformed.getLocation() == null ? 1 : malformed.getLocation().getLineNr();
            String message = malformed.getOriginalMessage().replaceAll("\\s+", " ");
            throw new ConfigException(source + ":" + line + ": " + message);
        } catch (IOException impossible) {
            throw new ConfigException(source + ": " + impossible.getMessage());
        }
    }

    private Json5Value document() throws IOException, ConfigException {
        parser.nextToken();
        if (parser.currentToken() == null) {
            throw new ConfigException(source + ":1: empty");
        }
        Json5Value root = value();
        if (parser.nextToken() != null) {
            throw new ConfigException(source + ":" + line() + ": something stands behind the end");
        }
        return root;
    }

    private int line() {
        return parser.currentTokenLocation().getLineNr();
    }

    private Json5Value value() throws IOException, ConfigException {
        int line = line();
        return switch (parser.currentToken()) {
            case START_OBJECT -> Json5Value.ofObject(line, object());
            case START_ARRAY -> Json5Value.ofList(line, list());
            case VALUE_STRING -> Json5Value.ofScalar(line, parser.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                    Json5Value.ofScalar(line, parser.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> Json5Value.ofScalar(line, parser.getBooleanValue());
            case VALUE_NULL -> Json5Value.ofScalar(line, null);
            default ->
                    throw new ConfigException(
                            source + ":" + line + ": unexpected " + parser.getText());
        };
    }

    private Map<String, Json5Value> object() throws IOException, ConfigException {
        Map<String, Json5Value> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, value());
        }
        return fields;
    }

    private List<Json5Value> list() throws IOException, ConfigException {
        List<Json5Value> values = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            values.add(value());
        }
        return values;
    }
}
