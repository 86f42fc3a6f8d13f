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
 * The settings that all initiators and clients of a deployment share: the scheduler's settings and
 * two time limits of the protocol.
 *
 * @param responseSlackMicros how long after a request's time left has run out its response still
 *     counts
 * @param drainGraceMicros how long after a target was reported draining or removed an attempt may
 *     still be sent to it; used by the audit of recordings, not by the scheduler
 */
public record DeploymentSettings(
        SchedulerSettings scheduler, long responseSlackMicros, long drainGraceMicros) {

    /**
     * Reads the deployment section of a setup file.
     *
     * @throws ConfigException if the section is invalid; names file, line and field
     */
    public static DeploymentSettings read(SettingsReader reader) throws ConfigException {
        List<RequestClass> requestClasses = readRequestClasses(reader);
        List<ServicePlan> plans = readServicePlans(reader);
        Capabilities capabilities = readCapabilities(reader.optionalObject("allowances"));
        SettingsReader limitsReader = reader.optionalObject("bounds");
        RuleLimits limits = readRuleLimits(limitsReader);
        long responseSlackMicros = limitsReader.timeMicros("answerSlack", "50 ms");
        long drainGraceMicros = limitsReader.timeMicros("drainGrace", "500 ms");
        limitsReader.rejectUnknown();
        int initiatorCount = reader.integer("initiators", Integer.MIN_VALUE, 1, 100_000);
        boolean mustWatchEndpoints = reader.flag("listMustBeAsked", false);
        reader.rejectUnknown();
        SchedulerSettings scheduler =
                new SchedulerSettings(
                        initiatorCount,
                        requestClasses,
                        plans,
                        capabilities,
                        limits,
                        mustWatchEndpoints);
        return new DeploymentSettings(scheduler, responseSlackMicros, drainGraceMicros);
    }

    private static List<RequestClass> readRequestClasses(SettingsReader reader)
            throws ConfigException {
        List<RequestClass> requestClasses = new ArrayList<>();
        for (SettingsReader element : reader.objects("categories", true)) {
            requestClasses.add(readRequestClass(element));
        }
        if (requestClasses.isEmpty()) {
            throw reader.error("categories", "at least one category is expected");
        }
        List<String> names = requestClasses.stream().map(RequestClass::name).toList();
        rejectDuplicates(reader, "categories", names);
        return List.copyOf(requestClasses);
    }

    private static List<ServicePlan> readServicePlans(SettingsReader reader)
            throws ConfigException {
        List<ServicePlan> plans = new ArrayList<>();
        for (SettingsReader element : reader.objects("plans", true)) {
            plans.add(readServicePlan(element));
        }
        rejectDuplicates(reader, "plans", plans.stream().map(ServicePlan::name).toList());
        return List.copyOf(plans);
    }

    private static void rejectDuplicates(SettingsReader reader, String field, List<String> names)
            throws ConfigException {
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                throw reader.error(field, "\"" + name + "\" is defined more than once");
            }
        }
    }

    private static RequestClass readRequestClass(SettingsReader reader) throws ConfigException {
        Idempotency idempotency = reader.keyword("repeats", Idempotency.class, null);
        RequestClass requestClass =
                new RequestClass(
                        reader.text("name", null),
                        idempotency,
                        reader.keyword("group", DeduplicationScope.class, DeduplicationScope.ALL),
                        reader.timeMicros("repeatWindow", "0"),
                        reader.flag("keyOrdered", false),
                        reader.timeMicros("agreedTime", null),
                        reader.number("importance", 1, 0, 1e6));
        if (requestClass.latencyObjectiveMicros() == 0) {
            throw reader.error("agreedTime", "must be greater than 0");
        }
        if (idempotency == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationWindowMicros() == 0) {
            throw reader.error(
                    "repeatWindow",
                    "a stamped category needs the time for which targets remember its keys");
        }
        reader.rejectUnknown();
        return requestClass;
    }

    private static ServicePlan readServicePlan(SettingsReader reader) throws ConfigException {
        ServicePlan plan =
                new ServicePlan(
                        reader.text("name", null),
                        reader.number("reserve", 0, 0, 1e9),
                        reader.number("weight", 1, 0, 1e6),
                        reader.number("limitRate", 0, 0, 1e9),
                        reader.number("limitDepth", 0, 0, 1e9),
                        reader.number("limitSlack", 0, 0, 1e9));
        if (plan.limitRate() > 0 && plan.limitBurst() == 0) {
            throw reader.error(
                    "limitDepth", "a limit needs the capacity of its token bucket, in units");
        }
        reader.rejectUnknown();
        return plan;
    }

    private static Capabilities readCapabilities(SettingsReader reader) throws ConfigException {
        Capabilities capabilities =
                new Capabilities(
                        reader.integer("maxRelays", 3, 1, 100),
                        reader.flag("probes", true),
                        reader.flag("cancels", true),
                        reader.flag("advice", true),
                        reader.timeMicros("longestAdvice", "500 ms"));
        reader.rejectUnknown();
        return capabilities;
    }

    private static RuleLimits readRuleLimits(SettingsReader reader) throws ConfigException {
        return new RuleLimits(
                reader.timeMicros("keyQuiet", "0"),
                reader.timeMicros("cold", "0"),
                reader.number("coldShare", 1, 0.001, 1),
                reader.number("coldBears", 0, 0, 1e9),
                reader.timeMicros("fall", "0"),
                reader.number("tipMultiple", 1, 1, 1e3),
                reader.number("relayBudgetFree", 0, 0, 1e6),
                reader.number("relayBudgetShare", 0, 0, 1e3),
                reader.timeMicros("relayBudgetSpan", "0"),
                reader.timeMicros("mustAskIn", "0"));
    }
}
