package milletyoke.scenario.script;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.scenario.script.Scenario.FaultType;
import milletyoke.scenario.script.Scenario.Selection;
import milletyoke.scheduler.api.Keyword;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;
import milletyoke.standins.WorkDistribution;

/**
 * Reads the notation of bad days, one statement a line, # before a remark; docs/rehearsal.md has
 * every statement.
 */
public final class ScenarioParser {
    private final String file;
    private final String name;
    private final Map<String, Tokenizer> single = new HashMap<>();
    private final List<Tokenizer> categories = new ArrayList<>();
    private final List<Tokenizer> plans = new ArrayList<>();
    private final List<Fault> troubles = new ArrayList<>();
    private boolean listAsked;

    private ScenarioParser(String file, String name) {
        this.file = file;
        this.name = name;
    }

    public static Scenario read(Path path) throws ScenarioFormatException {
        String text;
        try {
            text = Files.readString(path);
        } catch (java.nio.file.NoSuchFileException missing) {
            throw new ScenarioFormatException(path + ": there is no such file");
        } catch (IOException unreadable) {
            throw new ScenarioFormatException(
                    path + ": cannot be read: " + unreadable.getMessage());
        }
        return read(
                path.toString(),
                String.valueOf(path.getFileName()).replaceAll("\\.day$", ""),
                text);
    }

    /** All of them, so that none is played where one cannot be read. */
    public static List<Scenario> readAll(List<Path> paths) throws ScenarioFormatException {
        List<Scenario> days = new ArrayList<>();
        for (Path path : paths) {
            days.add(read(path));
        }
        return days;
    }

    /**
     * @param file what messages call it
     */
    public static Scenario read(String file, String name, String text)
            throws ScenarioFormatException {
        ScenarioParser script = new ScenarioParser(file, name);
        int line = 0;
        for (String one : text.split("\n", -1)) {
            line++;
            String bare = one.replaceAll("#.*", "").trim();
            if (!bare.isEmpty()) {
                script.statement(new Tokenizer(file, line, bare), line);
            }
        }
        return script.day();
    }

    private void statement(Tokenizer w, int line) throws ScenarioFormatException {
        String verb = w.next("a statement");
        switch (verb) {
            case "seed",
                    "lasts",
                    "initiators",
                    "targets",
                    "bounds",
                    "allowances",
                    "load",
                    "list",
                    "network" -> {
                if (single.put(verb, w) != null) {
                    throw w.wrong(verb + " stands there twice");
                }
            }
            case "category" -> categories.add(w);
            case "plan" -> plans.add(w);
            case "at" -> troubles.add(trouble(w, w.time("at", w.next("the time"), true), line));
            case "when" -> {
                String what = w.next("service");
                if (!what.equals("service")) {
                    throw w.wrong("a trouble can wait for service, not for \"" + what + "\"");
                }
                double under = w.part("under", null);
                long from = w.time("from", "1s");
                if (under <= 0) {
                    throw w.wrong("under must be over 0%");
                }
                troubles.add(trouble(w, from, line).under(under));
            }
            case "then" -> {
                if (troubles.isEmpty()) {
                    throw w.wrong("then follows a trouble, and none stands before it");
                }
                long after = w.time("then", w.next("how long after"), true);
                troubles.add(
                        trouble(w, troubles.get(troubles.size() - 1).atMicros() + after, line));
            }
            default ->
                    throw w.wrong(
                            "\""
                                    + verb
                                    + "\" is no statement; seed, lasts, initiators, targets, bounds, "
                                    + "allowances, load, list, network, category, plan, at, then and when are");
        }
    }

    private Tokenizer single(String verb) throws ScenarioFormatException {
        Tokenizer w = single.get(verb);
        return w == null ? new Tokenizer(file, 0, "") : w;
    }

    // ---- Who is there and what is asked ----

    private Scenario day() throws ScenarioFormatException {
        Tokenizer seed = single("seed");
        String seedText = seed.next();
        long seedValue = seedText == null ? 1 : (long) seed.figure("seed", seedText, "");
        seed.done();
        Tokenizer lasts = single("lasts");
        String lastsText = lasts.next();
        long lastsValue = lastsText == null ? 10_000_000 : lasts.time("lasts", lastsText, false);
        lasts.done();
        Tokenizer ini = single("initiators");
        String count = ini.next();
        int initiators = count == null ? 3 : (int) ini.figure("initiators", count, "");
        int held = ini.whole("held", "10000");
        ini.done();
        if (initiators < 1 || initiators > 10_000) {
            throw ini.wrong("1 to 10000 initiators can be played, not " + initiators);
        }
        Scenario.Fleet fleet = fleet(single("targets"), single("list"));
        List<RequestClass> provisioned = new ArrayList<>();
        List<Scenario.Kind> kinds = new ArrayList<>();
        for (Tokenizer w : categories) {
            category(w, provisioned, kinds);
        }
        if (provisioned.isEmpty()) {
            throw new ScenarioFormatException(file + ": no category is given");
        }
        List<Scenario.PlanOf> planned = new ArrayList<>();
        for (Tokenizer w : plans) {
            planned.add(plan(w));
        }
        if (planned.isEmpty()) {
            throw new ScenarioFormatException(file + ": no plan is given");
        }
        Scenario.BoundsOf bounds = bounds(single("bounds"));
        Tokenizer a = single("allowances");
        Capabilities allowances =
                new Capabilities(
                        Math.max(1, a.whole("relays", "3")),
                        !a.flag("noprobes"),
                        !a.flag("nocancels"),
                        !a.flag("noadvice"),
                        a.time("advice", "500ms"));
        a.done();
        Scenario.Load load = load(single("load"), file);
        for (Fault t : troubles) {
            boolean known =
                    planned.stream()
                            .anyMatch(
                                    p ->
                                            p.plan().name().equals(t.name())
                                                    && p.plan().limitRate() > 0);
            if (t.type() == FaultType.LIMIT && !known) {
                throw new ScenarioFormatException(
                        file + ":" + t.line() + ": no plan with a limit is called " + t.name());
            }
            boolean initiator =
                    t.type() == FaultType.KILL
                            || t.type() == FaultType.STILL
                            || t.type() == FaultType.LEAVE
                            || t.type() == FaultType.PARTITION;
            int most = initiator ? initiators : fleet.targets();
            if (t.type() == FaultType.PARTITION && t.count() > fleet.targets()) {
                throw new ScenarioFormatException(
                        file
                                + ":"
                                + t.line()
                                + ": there are "
                                + fleet.targets()
                                + " targets, none has number "
                                + t.count());
            }
            if (t.selection().number() > most) {
                throw new ScenarioFormatException(
                        file
                                + ":"
                                + t.line()
                                + ": there are "
                                + most
                                + ", none has number "
                                + t.selection().number());
            }
        }
        return new Scenario(
                name,
                seedValue,
                lastsValue,
                initiators,
                held,
                fleet,
                provisioned,
                kinds,
                planned,
                allowances,
                bounds,
                listAsked,
                load,
                network(single("network")),
                List.copyOf(troubles));
    }

    private Scenario.Fleet fleet(Tokenizer w, Tokenizer list) throws ScenarioFormatException {
        String count = w.next();
        int targets = count == null ? 8 : (int) w.figure("targets", count, "");
        if (targets < 1 || targets > 10_000) {
            throw w.wrong("1 to 10000 targets can be played, not " + targets);
        }
        listAsked = list.flag("asked");
        long[] lag = list.times("lag", "100ms..300ms");
        list.done();
        Scenario.Fleet fleet =
                new Scenario.Fleet(
                        targets,
                        Math.max(1, w.whole("zones", "1")),
                        Math.max(1, w.whole("cores", "2")),
                        w.figures("speed", "1..1.4"),
                        w.time("unit", "2ms"),
                        w.whole("room", "40"),
                        Math.max(1, w.whole("connections", "100")),
                        w.whole("extents", "3"),
                        w.part("saves", "50%"),
                        w.part("putoff", "30%"),
                        w.time("putoffevery", "2s"),
                        w.time("pauseevery", "0"),
                        w.time("pause", "100ms"),
                        w.flag("tells"),
                        w.flag("dropscancelled"),
                        lag,
                        w.part("crowd", "0"),
                        w.time("connecting", "0"),
                        w.figure("warmunits", "0"),
                        work(w));
        w.done();
        if (fleet.unit() <= 0 || fleet.speeds()[0] <= 0) {
            throw w.wrong("unit and speed must be over 0");
        }
        return fleet;
    }

    private static Scenario.Network network(Tokenizer w) throws ScenarioFormatException {
        Scenario.Network network =
                new Scenario.Network(w.times("travel", "30us..90us"), w.time("turn", "30us"));
        w.done();
        if (network.travel()[0] < 1) {
            throw w.wrong("travel must be over 0");
        }
        return network;
    }

    private static WorkDistribution work(Tokenizer w) throws ScenarioFormatException {
        try {
            return WorkDistribution.of(w.text("work", "even"));
        } catch (IllegalArgumentException wrong) {
            throw w.wrong("work: " + wrong.getMessage());
        }
    }

    private void category(Tokenizer w, List<RequestClass> provisioned, List<Scenario.Kind> kinds)
            throws ScenarioFormatException {
        String called = w.next("the category's name");
        double share = w.part("share", null);
        Idempotency repeats = word(w, "repeats", Idempotency.class, "harmless");
        DeduplicationScope group = word(w, "group", DeduplicationScope.class, "all");
        double[] units = w.figures("units", "1..4");
        boolean ordered = w.flag("ordered");
        boolean write = w.flag("write");
        boolean anywhere = w.flag("anywhere");
        RequestClass category =
                new RequestClass(
                        called,
                        repeats,
                        group,
                        w.time("window", "2500ms"),
                        ordered,
                        w.time("agreed", null),
                        w.figure("importance", "1"));
        kinds.add(
                new Scenario.Kind(
                        share,
                        (int) units[0],
                        (int) units[1],
                        write,
                        anywhere,
                        w.time("abandon", null)));
        provisioned.add(category);
        w.done();
    }

    private static <E extends Enum<E>> E word(
            Tokenizer w, String name, Class<E> words, String usual) throws ScenarioFormatException {
        String text = w.text(name, usual);
        for (E one : words.getEnumConstants()) {
            if (Keyword.of(one).equals(text)) {
                return one;
            }
        }
        throw w.wrong(name + ": \"" + text + "\" is not known");
    }

    private static Scenario.PlanOf plan(Tokenizer w) throws ScenarioFormatException {
        String called = w.next("the plan's name");
        ServicePlan plan =
                new ServicePlan(
                        called,
                        w.figure("reserve", "0"),
                        w.figure("weight", "1"),
                        w.figure("limit", "0"),
                        w.figure("depth", "0"),
                        w.figure("slack", "0"));
        Scenario.PlanOf of =
                new Scenario.PlanOf(
                        plan,
                        w.part("share", null),
                        Math.max(1, w.whole("volumes", "8")),
                        Math.max(1, w.whole("hosts", "2")));
        w.done();
        return of;
    }

    private static Scenario.BoundsOf bounds(Tokenizer w) throws ScenarioFormatException {
        Scenario.BoundsOf bounds =
                new Scenario.BoundsOf(
                        w.time("slack", "100ms"),
                        w.time("grace", "500ms"),
                        w.time("keyquiet", "0"),
                        w.time("cold", "0"),
                        w.part("coldshare", "30%"),
                        w.time("fall", "0"),
                        w.figure("tip", "2"),
                        w.figure("budgetfree", "0"),
                        w.part("budgetshare", "0"),
                        w.time("budgetspan", "0"),
                        w.time("mustask", "10s"));
        w.done();
        return bounds;
    }

    /** Files of captured traffic, with commas between; from the script's folder on. */
    private static List<Path> traffic(Tokenizer w, String file) throws ScenarioFormatException {
        String text = w.text("traffic", "");
        Path folder = Path.of(file).toAbsolutePath().getParent();
        return text.isEmpty()
                ? List.of()
                : java.util.Arrays.stream(text.split(",")).map(folder::resolve).toList();
    }

    private static Scenario.Load load(Tokenizer w, String file) throws ScenarioFormatException {
        String rate = w.next();
        Scenario.Load load =
                new Scenario.Load(
                        rate == null ? 400 : w.figure("load", rate, "/s"),
                        w.whole("retries", "1"),
                        w.time("wait", "100ms"),
                        w.part("impatient", "0"),
                        w.times("time", "100ms..200ms"),
                        w.part("vanish", "0"),
                        w.whole("closed", "0"),
                        w.time("think", "0"),
                        traffic(w, file),
                        w.figure("speed", "1"));
        if (!(load.speed() > 0)) {
            throw w.wrong("speed must be over 0");
        }
        w.done();
        return load;
    }

    // ---- What goes wrong ----

    private static Fault trouble(Tokenizer w, long at, int line) throws ScenarioFormatException {
        String verb = w.next("what happens");
        Selection whom = new Selection(0, 0);
        long span = 0, every = 0, down = 0;
        long[] range = {0, 0};
        double figure = 0;
        int count = 0;
        String name = "";
        FaultType sort;
        switch (verb) {
            case "hang", "unreachable" -> {
                sort = verb.equals("hang") ? FaultType.HANG : FaultType.UNREACHABLE;
                whom = whom(w);
                span = w.time("for", null);
            }
            case "slow" -> {
                sort = FaultType.SLOW;
                whom = whom(w);
                figure = w.figure("by", null);
                span = w.time("for", null);
            }
            case "pauses" -> {
                sort = FaultType.PAUSES;
                whom = whom(w);
                range = w.times("of", null);
                every = w.time("every", "2s");
                span = w.time("for", null);
            }
            case "errors", "lost" -> {
                sort = verb.equals("errors") ? FaultType.ERRORS : FaultType.LOST;
                whom = whom(w);
                figure = w.part("part", "60%");
                span = w.time("for", null);
            }
            case "resets" -> {
                sort = FaultType.RESETS;
                whom = whom(w);
                every = w.time("every", "200ms");
                span = w.time("for", null);
            }
            case "restart" -> {
                sort = FaultType.RESTART;
                whom = whom(w);
                range = w.times("down", "500ms");
            }
            case "roll" -> {
                sort = FaultType.ROLL;
                whom = whom(w);
                span = w.time("over", null);
                down = w.time("down", "300ms");
            }
            case "drain" -> {
                sort = FaultType.DRAIN;
                whom = whom(w);
                span = w.time("for", null);
            }
            case "age" -> {
                sort = FaultType.AGE;
                whom = whom(w);
                figure = w.figure("to", "6");
                span = w.time("over", null);
                down = w.time("down", "500ms");
            }
            case "list" -> {
                String how = w.next("late, partial or unavailable");
                sort =
                        switch (how) {
                            case "late" -> FaultType.LIST_LATE;
                            case "partial" -> FaultType.LIST_PARTIAL;
                            case "unavailable" -> FaultType.LIST_UNAVAILABLE;
                            case "flap" -> FaultType.LIST_FLAP;
                            default ->
                                    throw w.wrong(
                                            "a list is late, partial, unavailable or flaps, not \""
                                                    + how
                                                    + "\"");
                        };
                if (sort == FaultType.LIST_LATE) {
                    range = w.times("by", null);
                } else if (sort == FaultType.LIST_PARTIAL || sort == FaultType.LIST_FLAP) {
                    whom = whom(w);
                    every = sort == FaultType.LIST_FLAP ? w.time("every", "200ms") : 0;
                }
                span = w.time("for", null);
            }
            case "kill", "leave" -> {
                sort = verb.equals("kill") ? FaultType.KILL : FaultType.LEAVE;
                whom = whom(w);
                range = w.times("down", "1s");
            }
            case "still" -> {
                sort = FaultType.STILL;
                whom = whom(w);
                span = w.time("for", null);
            }
            case "surge" -> {
                sort = FaultType.SURGE;
                count = Math.max(1, w.whole("volumes", "3"));
                figure = w.part("by", w.text("by", "50%"), 20);
                span = w.time("for", null);
            }
            case "hotkey" -> {
                sort = FaultType.HOTKEY;
                figure = w.part("part", "30%");
                span = w.time("for", null);
            }
            case "partition" -> {
                sort = FaultType.PARTITION;
                whom = whom(w);
                Selection there = selection(w, w.text("targets", null));
                figure = there.part();
                count = there.number();
                every =
                        (w.flag("oneway") ? Scenario.ONE_WAY : 0)
                                + (w.flag("grey") ? Scenario.GREY : 0);
                span = w.time("for", null);
            }
            case "clock" -> {
                sort = FaultType.CLOCK;
                span = w.time("ahead", "0") - w.time("back", "0");
            }
            case "reconnect" -> sort = FaultType.RECONNECT;
            case "limit" -> {
                sort = FaultType.LIMIT;
                name = w.next("the plan");
                figure = w.figure("rate", null);
                range = new long[] {w.whole("depth", null), w.whole("slack", "0")};
            }
            default -> throw w.wrong("\"" + verb + "\" is no trouble that can be played");
        }
        w.done();
        return new Fault(at, line, sort, whom, span, figure, range, every, count, down, name);
    }

    /** A part as 40%, or a number as 2. */
    private static Selection whom(Tokenizer w) throws ScenarioFormatException {
        return selection(w, w.next("whom it strikes, as 40% or a number from 1"));
    }

    private static Selection selection(Tokenizer w, String text) throws ScenarioFormatException {
        if (text.endsWith("%")) {
            return new Selection(w.part("whom", text, 1), 0);
        }
        int number = (int) w.figure("whom", text, "");
        if (number < 1) {
            throw w.wrong("they are numbered from 1");
        }
        return new Selection(0, number);
    }
}
