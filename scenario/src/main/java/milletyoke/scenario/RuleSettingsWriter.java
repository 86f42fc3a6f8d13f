package milletyoke.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import milletyoke.scenario.script.Scenario;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/**
 * Writes the rule settings of a run as the JSON text of a RULES note in the recording. The audit
 * reads them with {@link milletyoke.scenario.audit.RuleSettings}.
 */
final class RuleSettingsWriter {
    private RuleSettingsWriter() {}

    static String toJson(Scenario scenario, List<ServicePlan> servicePlans) {
        List<Map<String, Object>> requestClasses = new ArrayList<>();
        for (RequestClass requestClass : scenario.requestClasses()) {
            requestClasses.add(
                    Map.of(
                            "name",
                            requestClass.name(),
                            "repeats",
                            requestClass.idempotency().keyword().replace('-', '_'),
                            "group",
                            requestClass.deduplicationScope().name().toLowerCase(Locale.ROOT),
                            "window",
                            requestClass.deduplicationWindowMicros(),
                            "ordered",
                            requestClass.keyOrdered()));
        }
        List<Map<String, Object>> plans = new ArrayList<>();
        servicePlans.forEach(
                plan ->
                        plans.add(
                                Map.of(
                                        "name",
                                        plan.name(),
                                        "rate",
                                        plan.limitRate(),
                                        "depth",
                                        plan.limitBurst(),
                                        "slack",
                                        plan.limitSlack())));
        Scenario.RuleBounds bounds = scenario.ruleBounds();
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("categories", requestClasses);
        root.put("plans", plans);
        root.put("maxRelays", scenario.capabilities().maxAttempts());
        root.put("answerSlack", bounds.responseSlackMicros());
        root.put("drainGrace", bounds.drainGraceMicros());
        root.put("keyQuiet", bounds.keyQuietMicros());
        root.put("cold", bounds.warmUpMicros());
        root.put("coldShare", bounds.initialCapacityFraction());
        root.put("fall", bounds.overloadWindowMicros());
        root.put("tip", bounds.overloadFactor());
        root.put("budgetFree", bounds.retryBudgetMinimum());
        root.put("budgetShare", bounds.retryBudgetFraction());
        root.put("budgetSpan", bounds.retryBudgetWindowMicros());
        try {
            return new ObjectMapper().writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
