package milletyoke.gateway.config;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.Locale;
import milletyoke.scheduler.api.Keyword;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** Writes {@link DeploymentSettings} in the fleet configuration language. One use an instance. */
final class FleetWriter {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Names of this form need no quotes in the language. */
    private static final String BARE_NAME = "[a-zA-Z]([a-zA-Z0-9_]|-[a-zA-Z0-9])*";

    /** Rounds away what a product such as {@code 0.29 * 100} adds in the last place. */
    private static final MathContext PRECISION = new MathContext(15);

    private final StringBuilder out = new StringBuilder();

    String write(DeploymentSettings deployment) {
        SchedulerSettings scheduler = deployment.scheduler();
        open("fleet");
        setting("initiators", Integer.toString(scheduler.initiatorCount()));
        setting("list", scheduler.mustWatchEndpoints() ? "asked" : "pushed");
        close();
        out.append('\n');
        bounds(deployment);
        out.append('\n');
        allowances(scheduler.capabilities());
        for (RequestClass requestClass : scheduler.requestClasses()) {
            out.append('\n');
            category(requestClass);
        }
        for (ServicePlan plan : scheduler.plans()) {
            out.append('\n');
            plan(plan);
        }
        return out.toString();
    }

    private void bounds(DeploymentSettings deployment) {
        RuleLimits limits = deployment.scheduler().limits();
        open("bounds");
        time("answer-slack", deployment.responseSlackMicros());
        time("drain-grace", deployment.drainGraceMicros());
        time("key-quiet", limits.keyQuietMicros());
        time("cold", limits.warmUpMicros());
        percentage("cold-share", limits.initialFraction());
        setting("cold-bears", number(limits.warmUpBudgetUnits()) + "u");
        time("fall", limits.overloadWindowMicros());
        setting("tip-multiple", number(limits.overloadFactor()));
        setting("relay-budget-free", number(limits.freeRetries()));
        percentage("relay-budget-share", limits.retryShare());
        time("relay-budget-span", limits.retryWindowMicros());
        time("must-ask-in", limits.watchDeadlineMicros());
        close();
    }

    private void allowances(Capabilities capabilities) {
        open("allowances");
        setting("max-relays", number(capabilities.maxAttempts()));
        flag("probes", capabilities.canProbe());
        flag("cancels", capabilities.canCancel());
        flag("advice", capabilities.canSuggestRetryAfter());
        time("longest-advice", capabilities.maxRetryAfterMicros());
        close();
    }

    private void category(RequestClass requestClass) {
        open("category " + label(requestClass.name()));
        setting("repeats", Keyword.of(requestClass.idempotency()));
        setting("group", requestClass.deduplicationScope().name().toLowerCase(Locale.ROOT));
        time("repeat-window", requestClass.deduplicationWindowMicros());
        flag("key-ordered", requestClass.keyOrdered());
        time("agreed", requestClass.latencyObjectiveMicros());
        setting("importance", number(requestClass.priorityWeight()));
        close();
    }

    private void plan(ServicePlan plan) {
        open("plan " + label(plan.name()));
        setting("reserve", number(plan.reservationRate()) + "u/s");
        setting("weight", number(plan.weight()));
        setting("limit-rate", number(plan.limitRate()) + "u/s");
        setting("limit-depth", number(plan.limitBurst()) + "u");
        setting("limit-slack", number(plan.limitSlack()) + "u");
        close();
    }

    private void open(String header) {
        out.append(header).append(" {\n");
    }

    private void close() {
        out.append("}\n");
    }

    private void setting(String name, String value) {
        out.append("    ").append(name).append(' ').append(value).append(";\n");
    }

    private void flag(String name, boolean value) {
        setting(name, value ? "yes" : "no");
    }

    private void percentage(String name, double fraction) {
        setting(name, number(fraction * 100) + "%");
    }

    private void time(String name, long micros) {
        if (micros % MICROS_PER_SECOND == 0) {
            setting(name, micros / MICROS_PER_SECOND + "s");
        } else if (micros % MICROS_PER_MILLI == 0) {
            setting(name, micros / MICROS_PER_MILLI + "ms");
        } else {
            setting(name, micros + "us");
        }
    }

    private static String label(String name) {
        return name.matches(BARE_NAME) ? name : "\"" + name + "\"";
    }

    private static String number(double number) {
        return new BigDecimal(Double.toString(number))
                .round(PRECISION)
                .stripTrailingZeros()
                .toPlainString();
    }
}
