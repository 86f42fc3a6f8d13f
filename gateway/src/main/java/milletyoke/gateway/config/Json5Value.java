package milletyoke.gateway.config;

import java.util.List;
import java.util.Map;

/**
 * A value of a JSON5 document and the line on which it begins. Exactly one of object, list and
 * scalar is set, or none of them for the JSON value {@code null}.
 *
 * @param line counted from 1
 * @param scalar a {@link String}, {@link Double} or {@link Boolean}
 */
record Json5Value(int line, Map<String, Json5Value> object, List<Json5Value> list, Object scalar) {

    static Json5Value ofObject(int line, Map<String, Json5Value> fields) {
        return new Json5Value(line, fields, null, null);
    }

    static Json5Value ofList(int line, List<Json5Value> values) {
        return new Json5Value(line, null, values, null);
    }

    static Json5Value ofScalar(int line, Object scalar) {
        return new Json5Value(line, null, null, scalar);
    }

    /** Returns the type of the value as error messages name it. */
    String kind() {
        if (object != null) {
            return "an object";
        }
        if (list != null) {
            return "a list";
        }
        if (scalar == null) {
            return "null";
        }
        if (scalar instanceof String) {
            return "text";
        }
        return scalar instanceof Boolean ? "true or false" : "a number";
    }
}
