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
    private final Map<String, Tokenizer> singleStatements = new HashMap<>();
    private final List<Tokenizer> categories = new ArrayList<>();
    private final List<Tokenizer> plans = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();
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
                script.parseStatement(new Tokenizer(file, line, bare), line);
            }
        }
        return script.buildScenario();
    }

    private void parseStatement(Tokenizer tokens, int line) throws ScenarioFormatException {
        String verb = tokens.next("a statement");
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
                if (singleStatements.put(verb, tokens) != null) {
                    throw tokens.error(verb + " stands there twice");
                }
            }
            case "category" -> categories.add(tokens);
            case "plan" -> plans.add(tokens);
            case "at" ->
                    faults.add(
                            FaultParser.parse(
                                    tokens,
                                    tokens.time("at", tokens.next("the time"), true),
                                    line));
            case "when" -> {
                String what = tokens.next("service");
                if (!what.equals("service")) {
                    throw tokens.error("a trouble can wait for service, not for \"" + what + "\"");
                }
                double under = tokens.fraction("under", null);
                long from = tokens.time("from", "1s");
                if (under <= 0) {
                    throw tokens.error("under must be over 0%");
                }
                faults.add(FaultParser.parse(tokens, from, line).belowServiceLevel(under));
            }
            case "then" -> {
                if (faults.isEmpty()) {
                    throw tokens.error("then follows a trouble, and none stands before it");
                }
                long after = tokens.time("then", tokens.next("how long after"), true);
                faults.add(
                        FaultParser.parse(
                                tokens, faults.get(faults.size() - 1).atMicros() + after, line));
            }
            default ->
                    throw tokens.error(
                            "\""
                                    + verb
                                    + "\" is no statement; seed, lasts, initiators, targets, bounds, "
                                    + "allowances, load, list, network, category, plan, at, then and when are");
        }
    }

    private Tokenizer singleStatements(String verb) throws ScenarioFormatException {
        Tokenizer tokens = singleStatements.get(verb);
        return tokens == null ? new Tokenizer(file, 0, "") : tokens;
    }

    // ---- Who is there and what is asked ----

    private Scenario buildScenario() throws ScenarioFormatException {
        Tokenizer seed = singleStatements("seed");
        String seedText = seed.next();
        long seedValue = seedText == null ? 1 : (long) seed.number("seed", seedText, "");
        seed.expectEnd();
        Tokenizer lasts = singleStatements("lasts");
        String lastsText = lasts.next();
        long lastsValue = lastsText == null ? 10_000_000 : lasts.time("lasts", lastsText, false);
        lasts.expectEnd();
        Tokenizer ini = singleStatements("initiators");
        String count = ini.next();
        int initiators = count == null ? 3 : (int) ini.number("initiators", count, "");
        int held = ini.wholeNumber("held", "10000");
        ini.expectEnd();
        if (initiators < 1 || initiators > 10_000) {
            throw ini.error("1 to 10000 initiators can be played, not " + initiators);
        }
        Scenario.Fleet fleet = fleet(singleStatements("targets"), singleStatements("list"));
        List<RequestClass> provisioned = new ArrayList<>();
        List<Scenario.ClassLoad> kinds = new ArrayList<>();
        for (Tokenizer tokens : categories) {
            category(tokens, provisioned, kinds);
        }
        if (provisioned.isEmpty()) {
            throw new ScenarioFormatException(file + ": no category is given");
        }
        List<Scenario.PlanLoad> planned = new ArrayList<>();
        for (Tokenizer tokens : plans) {
            planned.add(plan(tokens));
        }
        if (planned.isEmpty()) {
            throw new ScenarioFormatException(file + ": no plan is given");
        }
        Scenario.RuleBounds bounds = bounds(singleStatements("bounds"));
        Tokenizer a = singleStatements("allowances");
        Capabilities allowances =
                new Capabilities(
                        Math.max(1, a.wholeNumber("relays", "3")),
                        !a.flag("noprobes"),
                        !a.flag("nocancels"),
                        !a.flag("noadvice"),
                        a.time("advice", "500ms"));
        a.expectEnd();
        Scenario.Load load = load(singleStatements("load"), file);
        for (Fault fault : faults) {
            boolean known =
                    planned.stream()
                            .anyMatch(
                                    p ->
                                            p.plan().name().equals(fault.name())
                                                    && p.plan().limitRate() > 0);
            if (fault.type() == FaultType.LIMIT && !known) {
                throw new ScenarioFormatException(
                        file
                                + ":"
                                + fault.line()
                                + ": no plan with a limit is called "
                                + fault.name());
            }
            boolean initiator =
                    fault.type() == FaultType.KILL
                            || fault.type() == FaultType.STILL
                            || fault.type() == FaultType.LEAVE
                            || fault.type() == FaultType.PARTITION;
            int most = initiator ? initiators : fleet.targets();
            if (fault.type() == FaultType.PARTITION && fault.count() > fleet.targets()) {
                throw new ScenarioFormatException(
                        file
                                + ":"
                                + fault.line()
                                + ": there are "
                                + fleet.targets()
                                + " targets, none has number "
                                + fault.count());
            }
            if (fault.selection().number() > most) {
                throw new ScenarioFormatException(
                        file
                                + ":"
                                + fault.line()
                                + ": there are "
                                + most
                                + ", none has number "
                                + fault.selection().number());
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
                network(singleStatements("network")),
                List.copyOf(faults));
    }

    private Scenario.Fleet fleet(Tokenizer tokens, Tokenizer list) throws ScenarioFormatException {
        String count = tokens.next();
        int targets = count == null ? 8 : (int) tokens.number("targets", count, "");
        if (targets < 1 || targets > 10_000) {
            throw tokens.error("1 to 10000 targets can be played, not " + targets);
        }
        listAsked = list.flag("asked");
        long[] lag = list.timeRange("lag", "100ms..300ms");
        list.expectEnd();
        Scenario.Fleet fleet =
                new Scenario.Fleet(
                        targets,
                        Math.max(1, tokens.wholeNumber("zones", "1")),
                        Math.max(1, tokens.wholeNumber("cores", "2")),
                        tokens.numberRange("speed", "1..1.4"),
                        tokens.time("unit", "2ms"),
                        tokens.wholeNumber("room", "40"),
                        Math.max(1, tokens.wholeNumber("connections", "100")),
                        tokens.wholeNumber("extents", "3"),
                        tokens.fraction("saves", "50%"),
                        tokens.fraction("putoff", "30%"),
                        tokens.time("putoffevery", "2s"),
                        tokens.time("pauseevery", "0"),
                        tokens.time("pause", "100ms"),
                        tokens.flag("tells"),
                        tokens.flag("dropscancelled"),
                        lag,
                        tokens.fraction("crowd", "0"),
                        tokens.time("connecting", "0"),
                        tokens.number("warmunits", "0"),
                        work(tokens));
        tokens.expectEnd();
        if (fleet.unitMicros() <= 0 || fleet.coreSpeeds()[0] <= 0) {
            throw tokens.error("unit and speed must be over 0");
        }
        return fleet;
    }

    private static Scenario.Network network(Tokenizer tokens) throws ScenarioFormatException {
        Scenario.Network network =
                new Scenario.Network(
                        tokens.timeRange("travel", "30us..90us"), tokens.time("turn", "30us"));
        tokens.expectEnd();
        if (network.latencyMicros()[0] < 1) {
            throw tokens.error("travel must be over 0");
        }
        return network;
    }

    private static WorkDistribution work(Tokenizer tokens) throws ScenarioFormatException {
        try {
            return WorkDistribution.of(tokens.text("work", "even"));
        } catch (IllegalArgumentException wrong) {
            throw tokens.error("work: " + wrong.getMessage());
        }
    }

    private void category(
            Tokenizer tokens, List<RequestClass> provisioned, List<Scenario.ClassLoad> kinds)
            throws ScenarioFormatException {
        String called = tokens.next("the category's name");
        double share = tokens.fraction("share", null);
        Idempotency repeats = word(tokens, "repeats", Idempotency.class, "harmless");
        DeduplicationScope group = word(tokens, "group", DeduplicationScope.class, "all");
        double[] units = tokens.numberRange("units", "1..4");
        boolean ordered = tokens.flag("ordered");
        boolean write = tokens.flag("write");
        boolean anywhere = tokens.flag("anywhere");
        RequestClass category =
                new RequestClass(
                        called,
                        repeats,
                        group,
                        tokens.time("window", "2500ms"),
                        ordered,
                        tokens.time("agreed", null),
                        tokens.number("importance", "1"));
        kinds.add(
                new Scenario.ClassLoad(
                        share,
                        (int) units[0],
                        (int) units[1],
                        write,
                        anywhere,
                        tokens.time("abandon", null)));
        provisioned.add(category);
        tokens.expectEnd();
    }

    private static <E extends Enum<E>> E word(
            Tokenizer tokens, String name, Class<E> words, String usual)
            throws ScenarioFormatException {
        String text = tokens.text(name, usual);
        for (E one : words.getEnumConstants()) {
            if (Keyword.of(one).equals(text)) {
                return one;
            }
        }
        throw tokens.error(name + ": \"" + text + "\" is not known");
    }

    private static Scenario.PlanLoad plan(Tokenizer tokens) throws ScenarioFormatException {
        String called = tokens.next("the plan's name");
        ServicePlan plan =
                new ServicePlan(
                        called,
                        tokens.number("reserve", "0"),
                        tokens.number("weight", "1"),
                        tokens.number("limit", "0"),
                        tokens.number("depth", "0"),
                        tokens.number("slack", "0"));
        Scenario.PlanLoad of =
                new Scenario.PlanLoad(
                        plan,
                        tokens.fraction("share", null),
                        Math.max(1, tokens.wholeNumber("volumes", "8")),
                        Math.max(1, tokens.wholeNumber("hosts", "2")));
        tokens.expectEnd();
        return of;
    }

    private static Scenario.RuleBounds bounds(Tokenizer tokens) throws ScenarioFormatException {
        Scenario.RuleBounds bounds =
                new Scenario.RuleBounds(
                        tokens.time("slack", "100ms"),
                        tokens.time("grace", "500ms"),
                        tokens.time("keyquiet", "0"),
                        tokens.time("cold", "0"),
                        tokens.fraction("coldshare", "30%"),
                        tokens.time("fall", "0"),
                        tokens.number("tip", "2"),
                        tokens.number("budgetfree", "0"),
                        tokens.fraction("budgetshare", "0"),
                        tokens.time("budgetspan", "0"),
                        tokens.time("mustask", "10s"));
        tokens.expectEnd();
        return bounds;
    }

    /** Files of captured traffic, with commas between; from the script's folder on. */
    private static List<Path> traffic(Tokenizer tokens, String file)
            throws ScenarioFormatException {
        String text = tokens.text("traffic", "");
        Path folder = Path.of(file).toAbsolutePath().getParent();
        return text.isEmpty()
                ? List.of()
                : java.util.Arrays.stream(text.split(",")).map(folder::resolve).toList();
    }

    private static Scenario.Load load(Tokenizer tokens, String file)
            throws ScenarioFormatException {
        String rate = tokens.next();
        Scenario.Load load =
                new Scenario.Load(
                        rate == null ? 400 : tokens.number("load", rate, "/s"),
                        tokens.wholeNumber("retries", "1"),
                        tokens.time("wait", "100ms"),
                        tokens.fraction("impatient", "0"),
                        tokens.timeRange("time", "100ms..200ms"),
                        tokens.fraction("vanish", "0"),
                        tokens.wholeNumber("closed", "0"),
                        tokens.time("think", "0"),
                        traffic(tokens, file),
                        tokens.number("speed", "1"));
        if (!(load.replaySpeed() > 0)) {
            throw tokens.error("speed must be over 0");
        }
        tokens.expectEnd();
        return load;
    }
}
