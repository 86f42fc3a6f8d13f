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
        Map<String, Category> categories,
        Map<String, Plan> plans,
        int maxRelays,
        long answerSlack,
        long drainGrace,
        long keyQuiet,
        long cold,
        double coldShare,
        long fall,
        double tip,
        double budgetFree,
        double budgetShare,
        long budgetSpan) {

    /**
     * @param repeats harmless, stamped or one_shot; {@code group} all, zone or cell
     */
    public record Category(String repeats, String group, long window, boolean ordered) {
        boolean harmless() {
            return repeats.equals("harmless");
        }
    }

    public record Plan(double rate, double depth, double slack) {}

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
        Map<String, Category> categories = new LinkedHashMap<>();
        for (JsonNode c : need(all, "categories")) {
            categories.put(
                    need(c, "name").asText(),
                    new Category(
                            need(c, "repeats").asText(),
                            need(c, "group").asText(),
                            need(c, "window").asLong(),
                            need(c, "ordered").asBoolean()));
        }
        Map<String, Plan> plans = new LinkedHashMap<>();
        for (JsonNode p : need(all, "plans")) {
            plans.put(
                    need(p, "name").asText(),
                    new Plan(
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
