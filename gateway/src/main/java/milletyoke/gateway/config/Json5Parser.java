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

/** Parses JSON5 into a tree whose values carry their line numbers for error messages. */
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

    /** Settings files are written by hand and are far smaller; a larger file is something else. */
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
     * @throws ConfigException if the file cannot be read or is not a single JSON5 value
     */
    static Json5Value read(Path file) throws ConfigException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new ConfigException(
                        file + ": larger than " + MAX_FILE_BYTES + " bytes, not a settings file");
            }
            return read(file.toString(), Files.readString(file));
        } catch (NoSuchFileException missing) {
            throw new ConfigException(file + ": there is no such file");
        } catch (IOException unreadable) {
            throw new ConfigException(file + ": cannot be read: " + unreadable.getMessage());
        }
    }

    /**
     * Parses a string.
     *
     * @param source name of the text in error messages
     * @throws ConfigException if the text is not a single JSON5 value
     */
    static Json5Value read(String source, String text) throws ConfigException {
        try (JsonParser parser = JSON5.createParser(text)) {
            return new Json5Parser(source, parser).parseDocument();
        } catch (JsonProcessingException malformed) {
            int line = malformed.getLocation() == null ? 1 : malformed.getLocation().getLineNr();
            String message = malformed.getOriginalMessage().replaceAll("\\s+", " ");
            throw new ConfigException(source + ":" + line + ": " + message);
        } catch (IOException impossible) {
            throw new ConfigException(source + ": " + impossible.getMessage());
        }
    }

    private Json5Value parseDocument() throws IOException, ConfigException {
        parser.nextToken();
        if (parser.currentToken() == null) {
            throw new ConfigException(source + ":1: the document is empty");
        }
        Json5Value root = parseValue();
        if (parser.nextToken() != null) {
            throw new ConfigException(
                    source
                            + ":"
                            + currentLine()
                            + ": unexpected content after the end of the document");
        }
        return root;
    }

    private int currentLine() {
        return parser.currentTokenLocation().getLineNr();
    }

    private Json5Value parseValue() throws IOException, ConfigException {
        int line = currentLine();
        return switch (parser.currentToken()) {
            case START_OBJECT -> Json5Value.ofObject(line, parseObject());
            case START_ARRAY -> Json5Value.ofList(line, parseList());
            case VALUE_STRING -> Json5Value.ofScalar(line, parser.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                    Json5Value.ofScalar(line, parser.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> Json5Value.ofScalar(line, parser.getBooleanValue());
            case VALUE_NULL -> Json5Value.ofScalar(line, null);
            default ->
                    throw new ConfigException(
                            source + ":" + line + ": unexpected token " + parser.getText());
        };
    }

    private Map<String, Json5Value> parseObject() throws IOException, ConfigException {
        Map<String, Json5Value> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, parseValue());
        }
        return fields;
    }

    private List<Json5Value> parseList() throws IOException, ConfigException {
        List<Json5Value> values = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            values.add(parseValue());
        }
        return values;
    }
}
