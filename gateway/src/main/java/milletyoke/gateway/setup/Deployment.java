package milletyoke.gateway.setup;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import milletyoke.port.Provisioning;
import milletyoke.port.Provisioning.Allowances;
import milletyoke.port.Provisioning.Bounds;
import milletyoke.port.Provisioning.Category;
import milletyoke.port.Provisioning.Group;
import milletyoke.port.Provisioning.Plan;
import milletyoke.port.Provisioning.Repeats;

/**
 * What all parts of one deployment share: what the decisions are provisioned with, and how long a
 * client waits beyond the time it told.
 *
 * @param answerSlack microseconds beyond the time left that an access told, in which its answer
 *     still counts
 * @param drainGrace microseconds after which nothing new may go to a target that was told to drain
 *     or be gone; the decisions use none of it, the audit judges by it
 */
public record Deployment(Provisioning provisioning, long answerSlack, long drainGrace) {

    /**
     * @throws SetupError that names line and field
     */
    public static Deployment read(Form f) throws SetupError {
        List<Category> categories = new ArrayList<>();
        for (Form c : f.forms("categories", true)) {
            categories.add(category(c));
        }
        if (categories.isEmpty()) {
            throw f.wrong("categories", "at least one is needed");
        }
        distinct(f, "categories", categories.stream().map(Category::name).toList());
        List<Plan> plans = new ArrayList<>();
        for (Form p : f.forms("plans", true)) {
            plans.add(plan(p));
        }
        distinct(f, "plans", plans.stream().map(Plan::name).toList());
        Form a = f.optional("allowances");
        Allowances allowances =
                new Allowances(
                        a.whole("maxRelays", 3, 1, 100),
                        a.flag("probes", true),
                        a.flag("cancels", true),
                        a.flag("advice", true),
                        a.time("longestAdvice", "500 ms"));
        a.done();
        Form b = f.optional("bounds");
        Bounds bounds = bounds(b);
        long slack = b.time("answerSlack", "50 ms");
        long grace = b.time("drainGrace", "500 ms");
        b.done();
        int initiators = f.whole("initiators", Integer.MIN_VALUE, 1, 100_000);
        boolean asked = f.flag("listMustBeAsked", false);
        f.done();
        return new Deployment(
                new Provisioning(
                        initiators,
                        List.copyOf(categories),
                        List.copyOf(plans),
                        allowances,
                        bounds,
                        asked),
                slack,
                grace);
    }

    private static void distinct(Form f, String field, List<String> names) throws SetupError {
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                throw f.wrong(field, "\"" + name + "\" stands there twice");
            }
        }
    }

    private static Category category(Form c) throws SetupError {
        Repeats repeats = c.word("repeats", Repeats.class, null);
        Category category =
                new Category(
                        c.text("name", null),
                        repeats,
                        c.word("group", Group.class, Group.ALL),
                        c.time("repeatWindow", "0"),
                        c.flag("keyOrdered", false),
                        c.time("agreedTime", null),
                        c.figure("importance", 1, 0, 1e6));
        if (category.agreedTime() == 0) {
            throw c.wrong("agreedTime", "must be over 0");
        }
        if (repeats == Repeats.STAMPED && category.repeatWindow() == 0) {
            throw c.wrong(
                    "repeatWindow",
                    "a stamped category needs the time for which targets know its marks");
        }
        c.done();
        return category;
    }

    private static Plan plan(Form p) throws SetupError {
        Plan plan =
                new Plan(
                        p.text("name", null),
                        p.figure("reserve", 0, 0, 1e9),
                        p.figure("weight", 1, 0, 1e6),
                        p.figure("limitRate", 0, 0, 1e9),
                        p.figure("limitDepth", 0, 0, 1e9),
                        p.figure("limitSlack", 0, 0, 1e9));
        if (plan.limitRate() > 0 && plan.limitDepth() == 0) {
            throw p.wrong("limitDepth", "a limit needs the units that its store holds");
        }
        p.done();
        return plan;
    }

    private static Bounds bounds(Form b) throws SetupError {
        return new Bounds(
                b.time("keyQuiet", "0"),
                b.time("cold", "0"),
                b.figure("coldShare", 1, 0.001, 1),
                b.figure("coldBears", 0, 0, 1e9),
                b.time("fall", "0"),
                b.figure("tipMultiple", 1, 1, 1e3),
                b.figure("relayBudgetFree", 0, 0, 1e6),
                b.figure("relayBudgetShare", 0, 0, 1e3),
                b.time("relayBudgetSpan", "0"),
                b.time("mustAskIn", "0"));
    }
}
