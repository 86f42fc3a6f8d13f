package milletyoke.gateway.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/**
 * What all parts of one deployment share: what the decisions are provisioned with, and how long a
 * client waits beyond the time it told.
 *
 * @param responseSlackMicros microseconds beyond the time left that an access told, in which its
 *     answer still counts
 * @param drainGraceMicros microseconds after which nothing new may go to a target that was told to
 *     drain or be gone; the decisions use none of it, the audit judges by it
 */
public record DeploymentSettings(
        SchedulerSettings scheduler, long responseSlackMicros, long drainGraceMicros) {

    /**
     * @throws SetupError that names line and field
     */
    public static DeploymentSettings read(SettingsReader f) throws ConfigException {
        List<RequestClass> categories = new ArrayList<>();
        for (SettingsReader c : f.objects("categories", true)) {
            categories.add(requestClass(c));
        }
        if (categories.isEmpty()) {
            throw f.error("categories", "at least one is needed");
        }
        rejectDuplicates(f, "categories", categories.stream().map(RequestClass::name).toList());
        List<ServicePlan> plans = new ArrayList<>();
        for (SettingsReader p : f.objects("plans", true)) {
            plans.add(servicePlan(p));
        }
        rejectDuplicates(f, "plans", plans.stream().map(ServicePlan::name).toList());
        SettingsReader a = f.optionalObject("allowances");
        Capabilities allowances =
                new Capabilities(
                        a.integer("maxRelays", 3, 1, 100),
                        a.flag("probes", true),
                        a.flag("cancels", true),
                        a.flag("advice", true),
                        a.timeMicros("longestAdvice", "500 ms"));
        a.rejectUnknown();
        SettingsReader b = f.optionalObject("bounds");
        RuleLimits bounds = ruleLimits(b);
        long slack = b.timeMicros("answerSlack", "50 ms");
        long grace = b.timeMicros("drainGrace", "500 ms");
        b.rejectUnknown();
        int initiators = f.integer("initiators", Integer.MIN_VALUE, 1, 100_000);
        boolean asked = f.flag("listMustBeAsked", false);
        f.rejectUnknown();
        return new DeploymentSettings(
                new SchedulerSettings(
                        initiators,
                        List.copyOf(categories),
                        List.copyOf(plans),
                        allowances,
                        bounds,
                        asked),
                slack,
                grace);
    }

    private static void rejectDuplicates(SettingsReader f, String field, List<String> names)
            throws ConfigException {
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                throw f.error(field, "\"" + name + "\" stands there twice");
            }
        }
    }

    private static RequestClass requestClass(SettingsReader c) throws ConfigException {
        Idempotency repeats = c.keyword("repeats", Idempotency.class, null);
        RequestClass category =
                new RequestClass(
                        c.text("name", null),
                        repeats,
                        c.keyword("group", DeduplicationScope.class, DeduplicationScope.ALL),
                        c.timeMicros("repeatWindow", "0"),
                        c.flag("keyOrdered", false),
                        c.timeMicros("agreedTime", null),
                        c.number("importance", 1, 0, 1e6));
        if (category.latencyObjectiveMicros() == 0) {
            throw c.error("agreedTime", "must be over 0");
        }
        if (repeats == Idempotency.IDEMPOTENCY_KEY && category.deduplicationWindowMicros() == 0) {
            throw c.error(
                    "repeatWindow",
                    "a stamped category needs the time for which targets know its marks");
        }
        c.rejectUnknown();
        return category;
    }

    private static ServicePlan servicePlan(SettingsReader p) throws ConfigException {
        ServicePlan plan =
                new ServicePlan(
                        p.text("name", null),
                        p.number("reserve", 0, 0, 1e9),
                        p.number("weight", 1, 0, 1e6),
                        p.number("limitRate", 0, 0, 1e9),
                        p.number("limitDepth", 0, 0, 1e9),
                        p.number("limitSlack", 0, 0, 1e9));
        if (plan.limitRate() > 0 && plan.limitBurst() == 0) {
            throw p.error("limitDepth", "a limit needs the units that its store holds");
        }
        p.rejectUnknown();
        return plan;
    }

    private static RuleLimits ruleLimits(SettingsReader b) throws ConfigException {
        return new RuleLimits(
                b.timeMicros("keyQuiet", "0"),
                b.timeMicros("cold", "0"),
                b.number("coldShare", 1, 0.001, 1),
                b.number("coldBears", 0, 0, 1e9),
                b.timeMicros("fall", "0"),
                b.number("tipMultiple", 1, 1, 1e3),
                b.number("relayBudgetFree", 0, 0, 1e6),
                b.number("relayBudgetShare", 0, 0, 1e3),
                b.timeMicros("relayBudgetSpan", "0"),
                b.timeMicros("mustAskIn", "0"));
    }
}
