package milletyoke.simhost;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;

/**
 * One line of the simulator's wire, split into its tab-separated fields. An absent field has the
 * meaning that the caller names.
 *
 * @param line its number in the input, for errors
 */
record Frame(long line, List<String> parts) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ABSENT = "-";
    private static final int ENLIST_FIELDS = 3;

    static Frame of(long line, String text) {
        boolean endsInJson = text.startsWith("ENLIST\t");
        return new Frame(line, List.of(text.split("\t", endsInJson ? ENLIST_FIELDS : -1)));
    }

    String type() {
        return parts.get(0);
    }

    String text(int index) {
        return index >= parts.size() || parts.get(index).equals(ABSENT) ? null : parts.get(index);
    }

    long whole(int index) {
        String value = text(index);
        try {
            return value == null ? 0 : Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed("not a whole number: " + value);
        }
    }

    double number(int index, double absent) {
        String value = text(index);
        try {
            return value == null ? absent : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw malformed("not a number: " + value);
        }
    }

    /** One value of a comma-separated field, -1 where there is none. */
    double listItem(int index, int item) {
        String[] row = text(index) == null ? new String[0] : text(index).split(",", 0);
        try {
            return item < 0 || item >= row.length ? -1 : Double.parseDouble(row[item]);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    JsonNode json(int index) {
        try {
            return JSON.readTree(index < parts.size() ? parts.get(index) : "");
        } catch (JsonProcessingException e) {
            throw malformed("settings that are not JSON");
        }
    }

    MalformedFrameException malformed(String what) {
        return new MalformedFrameException(line, what);
    }
}
