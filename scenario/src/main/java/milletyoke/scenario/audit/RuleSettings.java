package milletyoke.scenario.audit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The rules' figures as the recording tells them. Written here from the rules' text alone: the
 * audit shares no code with the decisions that it judges. Times are microseconds.
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
     * @param idempotency harmless, stamped or one_shot; {@code deduplicationScope} all, zone or
     *     cell
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

    public record PlanLimit(double rate, double depth, double slack) {}

    /**
     * @throws IllegalArgumentException where a figure is missing
     */
    public static RuleSettings read(String json) {
        JsonNode all;
        try {
            all = new ObjectMapper().readTree(json);
        } catch (JsonProcessingException bad) {
            throw new IllegalArgumentException(
                    "the recording's rules are not JSON: " + bad.getOriginalMessage());
        }
        Map<String, RequestClassRules> categories = new LinkedHashMap<>();
        for (JsonNode c : need(all, "categories")) {
            categories.put(
                    need(c, "name").asText(),
                    new RequestClassRules(
                            need(c, "repeats").asText(),
                            need(c, "group").asText(),
                            need(c, "window").asLong(),
                            need(c, "ordered").asBoolean()));
        }
        Map<String, PlanLimit> plans = new LinkedHashMap<>();
        for (JsonNode p : need(all, "plans")) {
            plans.put(
                    need(p, "name").asText(),
                    new PlanLimit(
                            need(p, "rate").asDouble(),
                            need(p, "depth").asDouble(),
                            need(p, "slack").asDouble()));
        }
        return new RuleSettings(
                categories,
                plans,
                need(all, "maxRelays").asInt(),
                need(all, "answerSlack").asLong(),
                need(all, "drainGrace").asLong(),
                need(all, "keyQuiet").asLong(),
                need(all, "cold").asLong(),
                need(all, "coldShare").asDouble(),
                need(all, "fall").asLong(),
                need(all, "tip").asDouble(),
                need(all, "budgetFree").asDouble(),
                need(all, "budgetShare").asDouble(),
                need(all, "budgetSpan").asLong());
    }

    private static JsonNode need(JsonNode parent, String field) {
        JsonNode value = parent.get(field);
        if (value == null) {
            throw new IllegalArgumentException("the recording's rules have no " + field);
        }
        return value;
    }
}
