package milletyoke.simhost;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;

/**
 * One frame of the simulator's protocol: a line of tab-separated fields, the first of which is the
 * frame's type. A field that is missing or "-" is absent.
 *
 * @param line line number in the input, for error messages
 */
record Frame(long line, List<String> fields) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ABSENT = "-";
    private static final int ENLIST_FIELD_COUNT = 3;

    static Frame of(long line, String text) {
        boolean endsInJson = text.startsWith("ENLIST\t");
        return new Frame(line, List.of(text.split("\t", endsInJson ? ENLIST_FIELD_COUNT : -1)));
    }

    String type() {
        return fields.get(0);
    }

    String text(int index) {
        return index >= fields.size() || fields.get(index).equals(ABSENT)
                ? null
                : fields.get(index);
    }

    long longValue(int index) {
        String value = text(index);
        try {
            return value == null ? 0 : Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed("not an integer: " + value);
        }
    }

    double doubleValue(int index, double defaultValue) {
        String value = text(index);
        try {
            return value == null ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw malformed("not a number: " + value);
        }
    }

    /** Returns one value of a comma-separated field, or -1 if it is missing or not a number. */
    double listItem(int index, int item) {
        String[] values = text(index) == null ? new String[0] : text(index).split(",", 0);
        try {
            return item < 0 || item >= values.length ? -1 : Double.parseDouble(values[item]);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    JsonNode json(int index) {
        try {
            return JSON.readTree(index < fields.size() ? fields.get(index) : "");
        } catch (JsonProcessingException e) {
            throw malformed("settings are not valid JSON");
        }
    }

    MalformedFrameException malformed(String problem) {
        return new MalformedFrameException(line, problem);
    }
}
