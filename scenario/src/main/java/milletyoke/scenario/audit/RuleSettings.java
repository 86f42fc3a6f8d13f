package milletyoke.scenario.audit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The settings of the rules, read from the recording. Written from the text of the rules alone: the
 * audit shares no code with the scheduler that it checks. Times are in microseconds.
 */
public record RuleSettings(
        Map<String, RequestClassRules> requestClasses,
        Map<String, PlanLimit> plans,
        int maxAttempts,
        long responseSlackMicros,
        long drainGraceMicros,
        long keyQuietMicros,
        long warmUpMicros,
        double initialCapacityFraction,
        long overloadWindowMicros,
        double overloadFactor,
        double retryBudgetMinimum,
        double retryBudgetFraction,
        long retryBudgetWindowMicros) {

    /**
     * The settings of one request class.
     *
     * @param idempotency harmless, stamped or one_shot
     * @param deduplicationScope all, zone or cell
     */
    public record RequestClassRules(
            String idempotency,
            String deduplicationScope,
            long deduplicationWindowMicros,
            boolean isKeyOrdered) {
        boolean isIdempotent() {
            return idempotency.equals("harmless");
        }
    }

    /**
     * The rate limit of a service plan.
     *
     * @param rate units per second, 0 for no limit
     * @param depth burst in units
     * @param slack units by which all initiators together may exceed the limit
     */
    public record PlanLimit(double rate, double depth, double slack) {}

    /**
     * Reads the settings from the JSON text of a RULES note.
     *
     * @throws IllegalArgumentException if the text is not JSON or a setting is missing
     */
    public static RuleSettings read(String json) {
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "the rule settings of the recording are not valid JSON: "
                            + e.getOriginalMessage());
        }
        Map<String, RequestClassRules> requestClasses = new LinkedHashMap<>();
        for (JsonNode requestClass : required(root, "categories")) {
            requestClasses.put(
                    required(requestClass, "name").asText(),
                    new RequestClassRules(
                            required(requestClass, "repeats").asText(),
                            required(requestClass, "group").asText(),
                            required(requestClass, "window").asLong(),
                            required(requestClass, "ordered").asBoolean()));
        }
        Map<String, PlanLimit> plans = new LinkedHashMap<>();
        for (JsonNode plan : required(root, "plans")) {
            plans.put(
                    required(plan, "name").asText(),
                    new PlanLimit(
                            required(plan, "rate").asDouble(),
                            required(plan, "depth").asDouble(),
                            required(plan, "slack").asDouble()));
        }
        return new RuleSettings(
                requestClasses,
                plans,
                required(root, "maxRelays").asInt(),
                required(root, "answerSlack").asLong(),
                required(root, "drainGrace").asLong(),
                required(root, "keyQuiet").asLong(),
                required(root, "cold").asLong(),
                required(root, "coldShare").asDouble(),
                required(root, "fall").asLong(),
                required(root, "tip").asDouble(),
                required(root, "budgetFree").asDouble(),
                required(root, "budgetShare").asDouble(),
                required(root, "budgetSpan").asLong());
    }

    private static JsonNode required(JsonNode parent, String field) {
        JsonNode value = parent.get(field);
        if (value == null) {
            throw new IllegalArgumentException(
                    "the rule settings of the recording lack the field " + field);
        }
        return value;
    }
}
