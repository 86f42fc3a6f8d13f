package milletyoke.gateway.setup;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import milletyoke.config.Fleet;
import milletyoke.port.Provisioning;
import milletyoke.port.Provisioning.Allowances;
import milletyoke.port.Provisioning.Bounds;
import milletyoke.port.Provisioning.Category;
import milletyoke.port.Provisioning.Group;
import milletyoke.port.Provisioning.Plan;
import milletyoke.port.Provisioning.Repeats;

/** Between the configuration language and what an initiator is provisioned with. */
public final class FromFleet {
    private FromFleet() {}

    /** What a checked configuration provisions. */
    public static Deployment deployment(Fleet fleet) {
        List<Category> categories = new ArrayList<>();
        for (Fleet.Block c : fleet.of("category")) {
            categories.add(
                    new Category(
                            c.name(),
                            Repeats.valueOf(upper(c.text("repeats"))),
                            Group.valueOf(upper(c.text("group"))),
                            (long) c.figure("repeat-window"),
                            c.flag("key-ordered"),
                            (long) c.figure("agreed"),
                            c.figure("importance")));
        }
        List<Plan> plans = new ArrayList<>();
        for (Fleet.Block p : fleet.of("plan")) {
            plans.add(
                    new Plan(
                            p.name(),
                            p.figure("reserve"),
                            p.figure("weight"),
                            p.figure("limit-rate"),
                            p.figure("limit-depth"),
                            p.figure("limit-slack")));
        }
        Fleet.Block a = fleet.single("allowances");
        Fleet.Block b = fleet.single("bounds");
        Fleet.Block f = fleet.single("fleet");
        Allowances allowances =
                new Allowances(
                        (int) a.figure("max-relays"),
                        a.flag("probes"),
                        a.flag("cancels"),
                        a.flag("advice"),
                        (long) a.figure("longest-advice"));
        Bounds bounds =
                new Bounds(
                        (long) b.figure("key-quiet"),
                        (long) b.figure("cold"),
                        b.figure("cold-share"),
                        b.figure("cold-bears"),
                        (long) b.figure("fall"),
                        b.figure("tip-multiple"),
                        b.figure("relay-budget-free"),
                        b.figure("relay-budget-share"),
                        (long) b.figure("relay-budget-span"),
                        (long) b.figure("must-ask-in"));
        return new Deployment(
                new Provisioning(
                        (int) f.figure("initiators"),
                        List.copyOf(categories),
                        List.copyOf(plans),
                        allowances,
                        bounds,
                        f.text("list").equals("asked")),
                (long) b.figure("answer-slack"),
                (long) b.figure("drain-grace"));
    }

    private static String upper(String word) {
        return word.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    /** The same in the language: what `config convert` prints. */
    public static String text(Deployment d) {
        Provisioning p = d.provisioning();
        StringBuilder out = new StringBuilder();
        out.append("fleet {\n    initiators ")
                .append(p.initiators())
                .append(";\n    list ")
                .append(p.listMustBeAsked() ? "asked" : "pushed")
                .append(";\n}\n\n");
        Bounds b = p.bounds();
        out.append("bounds {\n")
                .append(time("answer-slack", d.answerSlack()))
                .append(time("drain-grace", d.drainGrace()))
                .append(time("key-quiet", b.keyQuiet()))
                .append(time("cold", b.cold()))
                .append(line("cold-share", plain(b.coldShare() * 100) + "%"))
                .append(line("cold-bears", plain(b.coldBears()) + "u"))
                .append(time("fall", b.fall()))
                .append(line("tip-multiple", plain(b.tipMultiple())))
                .append(line("relay-budget-free", plain(b.relayBudgetFree())))
                .append(line("relay-budget-share", plain(b.relayBudgetShare() * 100) + "%"))
                .append(time("relay-budget-span", b.relayBudgetSpan()))
                .append(time("must-ask-in", b.mustAskIn()))
                .append("}\n\n");
        Allowances a = p.allowances();
        out.append("allowances {\n")
                .append(line("max-relays", plain(a.maxRelays())))
                .append(flag("probes", a.probes()))
                .append(flag("cancels", a.cancels()))
                .append(flag("advice", a.advice()))
                .append(time("longest-advice", a.longestAdvice()))
                .append("}\n");
        for (Category c : p.categories()) {
            out.append("\ncategory ")
                    .append(label(c.name()))
                    .append(" {\n")
                    .append(
                            line(
                                    "repeats",
                                    c.repeats().name().toLowerCase(Locale.ROOT).replace('_', '-')))
                    .append(line("group", c.group().name().toLowerCase(Locale.ROOT)))
                    .append(time("repeat-window", c.repeatWindow()))
                    .append(flag("key-ordered", c.keyOrdered()))
                    .append(time("agreed", c.agreedTime()))
                    .append(line("importance", plain(c.importance())))
                    .append("}\n");
        }
        for (Plan plan : p.plans()) {
            out.append("\nplan ")
                    .append(label(plan.name()))
                    .append(" {\n")
                    .append(line("reserve", plain(plan.reserve()) + "u/s"))
                    .append(line("weight", plain(plan.weight())))
                    .append(line("limit-rate", plain(plan.limitRate()) + "u/s"))
                    .append(line("limit-depth", plain(plan.limitDepth()) + "u"))
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
