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

/** Writes {@link DeploymentSettings} in the fleet configuration language. For a single use. */
final class FleetWriter {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Names of this form are written without quotes. */
    private static final String BARE_NAME = "[a-zA-Z]([a-zA-Z0-9_]|-[a-zA-Z0-9])*";

    /** Rounds off the floating-point error of products such as {@code 0.29 * 100}. */
    private static final MathContext PRECISION = new MathContext(15);

    private final StringBuilder out = new StringBuilder();

    String write(DeploymentSettings deployment) {
        SchedulerSettings scheduler = deployment.scheduler();
        openBlock("fleet");
        writeSetting("initiators", Integer.toString(scheduler.initiatorCount()));
        writeSetting("list", scheduler.mustWatchEndpoints() ? "asked" : "pushed");
        closeBlock();
        out.append('\n');
        writeBounds(deployment);
        out.append('\n');
        writeAllowances(scheduler.capabilities());
        for (RequestClass requestClass : scheduler.requestClasses()) {
            out.append('\n');
            writeCategory(requestClass);
        }
        for (ServicePlan plan : scheduler.plans()) {
            out.append('\n');
            writePlan(plan);
        }
        return out.toString();
    }

    private void writeBounds(DeploymentSettings deployment) {
        RuleLimits limits = deployment.scheduler().limits();
        openBlock("bounds");
        writeTime("answer-slack", deployment.responseSlackMicros());
        writeTime("drain-grace", deployment.drainGraceMicros());
        writeTime("key-quiet", limits.keyQuietMicros());
        writeTime("cold", limits.warmUpMicros());
        writePercentage("cold-share", limits.initialFraction());
        writeSetting("cold-bears", formatNumber(limits.warmUpBudgetUnits()) + "u");
        writeTime("fall", limits.overloadWindowMicros());
        writeSetting("tip-multiple", formatNumber(limits.overloadFactor()));
        writeSetting("relay-budget-free", formatNumber(limits.freeRetries()));
        writePercentage("relay-budget-share", limits.retryShare());
        writeTime("relay-budget-span", limits.retryWindowMicros());
        writeTime("must-ask-in", limits.watchDeadlineMicros());
        closeBlock();
    }

    private void writeAllowances(Capabilities capabilities) {
        openBlock("allowances");
        writeSetting("max-relays", formatNumber(capabilities.maxAttempts()));
        writeFlag("probes", capabilities.canProbe());
        writeFlag("cancels", capabilities.canCancel());
        writeFlag("advice", capabilities.canSuggestRetryAfter());
        writeTime("longest-advice", capabilities.maxRetryAfterMicros());
        closeBlock();
    }

    private void writeCategory(RequestClass requestClass) {
        openBlock("category " + quoteIfNeeded(requestClass.name()));
        writeSetting("repeats", Keyword.of(requestClass.idempotency()));
        writeSetting("group", requestClass.deduplicationScope().name().toLowerCase(Locale.ROOT));
        writeTime("repeat-window", requestClass.deduplicationWindowMicros());
        writeFlag("key-ordered", requestClass.keyOrdered());
        writeTime("agreed", requestClass.latencyObjectiveMicros());
        writeSetting("importance", formatNumber(requestClass.priorityWeight()));
        closeBlock();
    }

    private void writePlan(ServicePlan plan) {
        openBlock("plan " + quoteIfNeeded(plan.name()));
        writeSetting("reserve", formatNumber(plan.reservationRate()) + "u/s");
        writeSetting("weight", formatNumber(plan.weight()));
        writeSetting("limit-rate", formatNumber(plan.limitRate()) + "u/s");
        writeSetting("limit-depth", formatNumber(plan.limitBurst()) + "u");
        writeSetting("limit-slack", formatNumber(plan.limitSlack()) + "u");
        closeBlock();
    }

    private void openBlock(String header) {
        out.append(header).append(" {\n");
    }

    private void closeBlock() {
        out.append("}\n");
    }

    private void writeSetting(String name, String value) {
        out.append("    ").append(name).append(' ').append(value).append(";\n");
    }

    private void writeFlag(String name, boolean value) {
        writeSetting(name, value ? "yes" : "no");
    }

    private void writePercentage(String name, double fraction) {
        writeSetting(name, formatNumber(fraction * 100) + "%");
    }

    private void writeTime(String name, long micros) {
        if (micros % MICROS_PER_SECOND == 0) {
            writeSetting(name, micros / MICROS_PER_SECOND + "s");
        } else if (micros % MICROS_PER_MILLI == 0) {
            writeSetting(name, micros / MICROS_PER_MILLI + "ms");
        } else {
            writeSetting(name, micros + "us");
        }
    }

    private static String quoteIfNeeded(String name) {
        return name.matches(BARE_NAME) ? name : "\"" + name + "\"";
    }

    private static String formatNumber(double number) {
        return new BigDecimal(Double.toString(number))
                .round(PRECISION)
                .stripTrailingZeros()
                .toPlainString();
    }
}
