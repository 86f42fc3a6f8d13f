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
 * The rules that bound a run, as the JSON text of a note in the recording; the audit reads it back.
 */
final class RulesNote {
    private RulesNote() {}

    static String text(Scenario scenario, List<ServicePlan> servicePlans) {
        List<Map<String, Object>> categories = new ArrayList<>();
        for (RequestClass c : scenario.requestClasses()) {
            categories.add(
                    Map.of(
                            "name",
                            c.name(),
                            "repeats",
                            c.idempotency().keyword().replace('-', '_'),
                            "group",
                            c.deduplicationScope().name().toLowerCase(Locale.ROOT),
                            "window",
                            c.deduplicationWindowMicros(),
                            "ordered",
                            c.keyOrdered()));
        }
        List<Map<String, Object>> plans = new ArrayList<>();
        servicePlans.forEach(
                p ->
                        plans.add(
                                Map.of(
                                        "name",
                                        p.name(),
                                        "rate",
                                        p.limitRate(),
                                        "depth",
                                        p.limitBurst(),
                                        "slack",
                                        p.limitSlack())));
        Scenario.RuleBounds b = scenario.ruleBounds();
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("categories", categories);
        all.put("plans", plans);
        all.put("maxRelays", scenario.capabilities().maxAttempts());
        all.put("answerSlack", b.responseSlackMicros());
        all.put("drainGrace", b.drainGraceMicros());
        all.put("keyQuiet", b.keyQuietMicros());
        all.put("cold", b.warmUpMicros());
        all.put("coldShare", b.initialCapacityFraction());
        all.put("fall", b.overloadWindowMicros());
        all.put("tip", b.overloadFactor());
        all.put("budgetFree", b.retryBudgetMinimum());
        all.put("budgetShare", b.retryBudgetFraction());
        all.put("budgetSpan", b.retryBudgetWindowMicros());
        try {
            return new ObjectMapper().writeValueAsString(all);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
