package milletyoke.gateway.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import milletyoke.config.Fleet;
import milletyoke.scheduler.api.Keyword;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** Between the configuration language and what an initiator is provisioned with. */
public final class FleetConverter {
    private FleetConverter() {}

    /** What a checked configuration provisions. */
    public static DeploymentSettings deployment(Fleet fleet) {
        List<RequestClass> categories = new ArrayList<>();
        for (Fleet.Block c : fleet.blocksOfKind("category")) {
            categories.add(
                    new RequestClass(
                            c.name(),
                            idempotency(c.text("repeats")),
                            DeduplicationScope.valueOf(enumName(c.text("group"))),
                            (long) c.number("repeat-window"),
                            c.flag("key-ordered"),
                            (long) c.number("agreed"),
                            c.number("importance")));
        }
        List<ServicePlan> plans = new ArrayList<>();
        for (Fleet.Block p : fleet.blocksOfKind("plan")) {
            plans.add(
                    new ServicePlan(
                            p.name(),
                            p.number("reserve"),
                            p.number("weight"),
                            p.number("limit-rate"),
                            p.number("limit-depth"),
                            p.number("limit-slack")));
        }
        Fleet.Block a = fleet.single("allowances");
        Fleet.Block b = fleet.single("bounds");
        Fleet.Block f = fleet.single("fleet");
        Capabilities allowances =
                new Capabilities(
                        (int) a.number("max-relays"),
                        a.flag("probes"),
                        a.flag("cancels"),
                        a.flag("advice"),
                        (long) a.number("longest-advice"));
        RuleLimits bounds =
                new RuleLimits(
                        (long) b.number("key-quiet"),
                        (long) b.number("cold"),
                        b.number("cold-share"),
                        b.number("cold-bears"),
                        (long) b.number("fall"),
                        b.number("tip-multiple"),
                        b.number("relay-budget-free"),
                        b.number("relay-budget-share"),
                        (long) b.number("relay-budget-span"),
                        (long) b.number("must-ask-in"));
        return new DeploymentSettings(
                new SchedulerSettings(
                        (int) f.number("initiators"),
                        List.copyOf(categories),
                        List.copyOf(plans),
                        allowances,
                        bounds,
                        f.text("list").equals("asked")),
                (long) b.number("answer-slack"),
                (long) b.number("drain-grace"));
    }

    private static Idempotency idempotency(String keyword) {
        return Arrays.stream(Idempotency.values())
                .filter(i -> i.keyword().equals(keyword))
                .findFirst()
                .orElseThrow();
    }

    private static String enumName(String word) {
        return word.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    /** The same in the language: what `config convert` prints. */
    public static String text(DeploymentSettings d) {
        SchedulerSettings p = d.scheduler();
        StringBuilder out = new StringBuilder();
        out.append("fleet {\n    initiators ")
                .append(p.initiatorCount())
                .append(";\n    list ")
                .append(p.mustWatchEndpoints() ? "asked" : "pushed")
                .append(";\n}\n\n");
        RuleLimits b = p.limits();
        out.append("bounds {\n")
                .append(time("answer-slack", d.responseSlackMicros()))
                .append(time("drain-grace", d.drainGraceMicros()))
                .append(time("key-quiet", b.keyQuietMicros()))
                .append(time("cold", b.warmUpMicros()))
                .append(line("cold-share", plain(b.initialFraction() * 100) + "%"))
                .append(line("cold-bears", plain(b.warmUpBudgetUnits()) + "u"))
                .append(time("fall", b.overloadWindowMicros()))
                .append(line("tip-multiple", plain(b.overloadFactor())))
                .append(line("relay-budget-free", plain(b.freeRetries())))
                .append(line("relay-budget-share", plain(b.retryShare() * 100) + "%"))
                .append(time("relay-budget-span", b.retryWindowMicros()))
                .append(time("must-ask-in", b.watchDeadlineMicros()))
                .append("}\n\n");
        Capabilities a = p.capabilities();
        out.append("allowances {\n")
                .append(line("max-relays", plain(a.maxAttempts())))
                .append(flag("probes", a.canProbe()))
                .append(flag("cancels", a.canCancel()))
                .append(flag("advice", a.canSuggestRetryAfter()))
                .append(time("longest-advice", a.maxRetryAfterMicros()))
                .append("}\n");
        for (RequestClass c : p.requestClasses()) {
            out.append("\ncategory ")
                    .append(label(c.name()))
                    .append(" {\n")
                    .append(line("repeats", Keyword.of(c.idempotency())))
                    .append(line("group", c.deduplicationScope().name().toLowerCase(Locale.ROOT)))
                    .append(time("repeat-window", c.deduplicationWindowMicros()))
                    .append(flag("key-ordered", c.keyOrdered()))
                    .append(time("agreed", c.latencyObjectiveMicros()))
                    .append(line("importance", plain(c.priorityWeight())))
                    .append("}\n");
        }
        for (ServicePlan plan : p.plans()) {
            out.append("\nplan ")
                    .append(label(plan.name()))
                    .append(" {\n")
                    .append(line("reserve", plain(plan.reservationRate()) + "u/s"))
                    .append(line("weight", plain(plan.weight())))
                    .append(line("limit-rate", plain(plan.limitRate()) + "u/s"))
                    .append(line("limit-depth", plain(plan.limitBurst()) + "u"))
                    .append(line("limit-slack", plain(plan.limitSlack()) + "u"))
                    .append("}\n");
        }
        return out.toString();
    }

    private static String label(String name) {
        return name.matches("[a-zA-Z]([a-zA-Z0-9_]|-[a-zA-Z0-9])*") ? name : "\"" + name + "\"";
    }

    private static String line(String name, String value) {
        return "    " + name + " " + value + ";\n";
    }

    private static String flag(String name, boolean value) {
        return line(name, value ? "yes" : "no");
    }

    private static String time(String name, long micros) {
        return line(
                name,
                micros % 1_000_000 == 0
                        ? micros / 1_000_000 + "s"
                        : micros % 1_000 == 0 ? micros / 1_000 + "ms" : micros + "us");
    }

    private static String plain(double figure) {
        return new java.math.BigDecimal(Double.toString(figure))
                .round(new java.math.MathContext(15))
                .stripTrailingZeros()
                .toPlainString();
    }
}
