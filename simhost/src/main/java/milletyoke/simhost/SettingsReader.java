package milletyoke.simhost;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** Maps the simulator's JSON settings to the scheduler's. */
final class SettingsReader {
    private SettingsReader() {}

    /** Reads the settings that an initiator starts with. */
    static SchedulerSettings read(JsonNode settings) {
        return new SchedulerSettings(
                (int) longValue(settings, "balancers"),
                requestClasses(settings.path("classes")),
                plans(settings.path("policies")),
                capabilities(settings.path("limits")),
                ruleLimits(settings.path("rules"), settings.path("specifics")),
                settings.path("registryMode").asText().equals("subscribe"));
    }

    private static List<RequestClass> requestClasses(JsonNode classes) {
        List<RequestClass> parsed = new ArrayList<>();
        for (JsonNode requestClass : classes) {
            parsed.add(
                    new RequestClass(
                            requestClass.path("name").asText(),
                            idempotency(requestClass),
                            deduplicationScope(requestClass),
                            longValue(requestClass, "repeatWindow"),
                            requestClass.path("serialByKey").asBoolean(),
                            longValue(requestClass, "aim"),
                            requestClass.path("points").asDouble()));
        }
        return parsed;
    }

    private static List<ServicePlan> plans(JsonNode plans) {
        List<ServicePlan> parsed = new ArrayList<>();
        for (JsonNode plan : plans) {
            parsed.add(
                    new ServicePlan(
                            plan.path("name").asText(),
                            plan.path("reservation").asDouble(),
                            plan.path("weight").asDouble(),
                            plan.path("ceilingRate").asDouble(),
                            plan.path("capDepth").asDouble(),
                            plan.path("tolerance").asDouble()));
        }
        return parsed;
    }

    private static Capabilities capabilities(JsonNode limits) {
        return new Capabilities(
                (int) longValue(limits, "maxAttempts"),
                limits.path("probes").asBoolean(),
                limits.path("mayCancel").asBoolean(),
                limits.path("retryAfter").asBoolean(),
                longValue(limits, "maxRetryAfter"));
    }

    private static RuleLimits ruleLimits(JsonNode rules, JsonNode specifics) {
        return new RuleLimits(
                longValue(rules, "keyQuiet"),
                longValue(rules, "cold"),
                rules.path("coldShare").asDouble(),
                specifics.path("coldBears").asDouble(),
                longValue(rules, "fall"),
                rules.path("tipMultiple").asDouble(),
                rules.path("budgetFree").asDouble(),
                rules.path("extraShare").asDouble(),
                longValue(rules, "budgetSpan"),
                longValue(rules, "mustAskIn"));
    }

    private static Idempotency idempotency(JsonNode requestClass) {
        return switch (requestClass.path("effect").asText()) {
            case "pure" -> Idempotency.IDEMPOTENT;
            case "token" -> Idempotency.IDEMPOTENCY_KEY;
            default -> Idempotency.NON_IDEMPOTENT;
        };
    }

    private static DeduplicationScope deduplicationScope(JsonNode requestClass) {
        return switch (requestClass.path("dedupScope").asText()) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.CELL;
        };
    }

    private static long longValue(JsonNode parent, String key) {
        return Math.round(parent.path(key).asDouble());
    }
}
