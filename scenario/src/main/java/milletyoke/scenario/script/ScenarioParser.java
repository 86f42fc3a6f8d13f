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
 * Parses scenario scripts: one statement per line, with comments after #. All statements are
 * described in docs/rehearsal.md.
 */
public final class ScenarioParser {
    private final String file;
    private final String name;
    private final Map<String, Tokenizer> singleStatements = new HashMap<>();
    private final List<Tokenizer> categories = new ArrayList<>();
    private final List<Tokenizer> plans = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();
    private boolean mustWatchEndpoints;

    private ScenarioParser(String file, String name) {
        this.file = file;
        this.name = name;
    }

    /** Reads a script file; the scenario is named after it. */
    public static Scenario read(Path path) throws ScenarioFormatException {
        String text;
        try {
            text = Files.readString(path);
        } catch (java.nio.file.NoSuchFileException e) {
            throw new ScenarioFormatException(path + ": file not found");
        } catch (IOException e) {
            throw new ScenarioFormatException(path + ": cannot read file: " + e.getMessage());
        }
        return read(
                path.toString(),
                String.valueOf(path.getFileName()).replaceAll("\\.day$", ""),
                text);
    }

    /** Reads all script files, so that no scenario is run if one of them is invalid. */
    public static List<Scenario> readAll(List<Path> paths) throws ScenarioFormatException {
        List<Scenario> scenarios = new ArrayList<>();
        for (Path path : paths) {
            scenarios.add(read(path));
        }
        return scenarios;
    }

    /**
     * Parses the text of a script.
     *
     * @param file name of the script in messages
     */
    public static Scenario read(String file, String name, String text)
            throws ScenarioFormatException {
        ScenarioParser parser = new ScenarioParser(file, name);
        int line = 0;
        for (String lineText : text.split("\n", -1)) {
            line++;
            String statement = lineText.replaceAll("#.*", "").trim();
            if (!statement.isEmpty()) {
                parser.parseStatement(new Tokenizer(file, line, statement), line);
            }
        }
        return parser.buildScenario();
    }

    private void parseStatement(Tokenizer tokens, int line) throws ScenarioFormatException {
        String keyword = tokens.next("a statement");
        switch (keyword) {
            case "seed",
                    "lasts",
                    "initiators",
                    "targets",
                    "bounds",
                    "allowances",
                    "load",
                    "list",
                    "network" -> {
                if (singleStatements.put(keyword, tokens) != null) {
                    throw tokens.error(keyword + " is given twice");
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
                String condition = tokens.next("service");
                if (!condition.equals("service")) {
                    throw tokens.error("when: expected service, not \"" + condition + "\"");
                }
                double threshold = tokens.fraction("under", null);
                long fromMicros = tokens.time("from", "1s");
                if (threshold <= 0) {
                    throw tokens.error("under must be greater than 0%");
                }
                faults.add(
                        FaultParser.parse(tokens, fromMicros, line).belowServiceLevel(threshold));
            }
            case "then" -> {
                if (faults.isEmpty()) {
                    throw tokens.error("then: no fault precedes this statement");
                }
                long delayMicros = tokens.time("then", tokens.next("the delay"), true);
                faults.add(
                        FaultParser.parse(
                                tokens,
                                faults.get(faults.size() - 1).atMicros() + delayMicros,
                                line));
            }
            default ->
                    throw tokens.error(
                            "\""
                                    + keyword
                                    + "\" is not a statement; expected seed, lasts, initiators, targets, bounds, "
                                    + "allowances, load, list, network, category, plan, at, then or when");
        }
    }

    private Tokenizer singleStatements(String keyword) throws ScenarioFormatException {
        Tokenizer tokens = singleStatements.get(keyword);
        return tokens == null ? new Tokenizer(file, 0, "") : tokens;
    }

    // ---- Deployment and load ----

    private Scenario buildScenario() throws ScenarioFormatException {
        Tokenizer seedStatement = singleStatements("seed");
        String seedText = seedStatement.next();
        long seedValue = seedText == null ? 1 : (long) seedStatement.number("seed", seedText, "");
        seedStatement.expectEnd();
        Tokenizer lastsStatement = singleStatements("lasts");
        String lastsText = lastsStatement.next();
        long durationMicros =
                lastsText == null ? 10_000_000 : lastsStatement.time("lasts", lastsText, false);
        lastsStatement.expectEnd();
        Tokenizer initiatorsStatement = singleStatements("initiators");
        String countText = initiatorsStatement.next();
        int initiators =
                countText == null
                        ? 3
                        : (int) initiatorsStatement.number("initiators", countText, "");
        int maxPendingRequests = initiatorsStatement.wholeNumber("held", "10000");
        initiatorsStatement.expectEnd();
        if (initiators < 1 || initiators > 10_000) {
            throw initiatorsStatement.error("initiators must be 1 to 10000, not " + initiators);
        }
        Scenario.Fleet fleet = fleet(singleStatements("targets"), singleStatements("list"));
        List<RequestClass> requestClasses = new ArrayList<>();
        List<Scenario.ClassLoad> classLoads = new ArrayList<>();
        for (Tokenizer tokens : categories) {
            requestClass(tokens, requestClasses, classLoads);
        }
        if (requestClasses.isEmpty()) {
            throw new ScenarioFormatException(file + ": no category statement");
        }
        List<Scenario.PlanLoad> planLoads = new ArrayList<>();
        for (Tokenizer tokens : plans) {
            planLoads.add(planLoad(tokens));
        }
        if (planLoads.isEmpty()) {
            throw new ScenarioFormatException(file + ": no plan statement");
        }
        Scenario.RuleBounds ruleBounds = ruleBounds(singleStatements("bounds"));
        Tokenizer allowancesStatement = singleStatements("allowances");
        Capabilities capabilities =
                new Capabilities(
                        Math.max(1, allowancesStatement.wholeNumber("relays", "3")),
                        !allowancesStatement.flag("noprobes"),
                        !allowancesStatement.flag("nocancels"),
                        !allowancesStatement.flag("noadvice"),
                        allowancesStatement.time("advice", "500ms"));
        allowancesStatement.expectEnd();
        Scenario.Load load = load(singleStatements("load"), file);
        for (Fault fault : faults) {
            boolean isLimitedPlan =
                    planLoads.stream()
                            .anyMatch(
                                    planLoad ->
                                            planLoad.plan().name().equals(fault.name())
                                                    && planLoad.plan().limitRate() > 0);
            if (fault.type() == FaultType.LIMIT && !isLimitedPlan) {
                throw new ScenarioFormatException(
                        file
                                + ":"
                                + fault.line()
                                + ": there is no plan with a limit named "
                                + fault.name());
            }
            boolean isInitiatorFault =
                    fault.type() == FaultType.KILL
                            || fault.type() == FaultType.STILL
                            || fault.type() == FaultType.LEAVE
                            || fault.type() == FaultType.PARTITION;
            int maxNumber = isInitiatorFault ? initiators : fleet.targets();
            if (fault.type() == FaultType.PARTITION && fault.count() > fleet.targets()) {
                throw new ScenarioFormatException(
                        file
                                + ":"
                                + fault.line()
                                + ": only "
                                + fleet.targets()
                                + " targets exist, there is no number "
                                + fault.count());
            }
            if (fault.selection().number() > maxNumber) {
                throw new ScenarioFormatException(
                        file
                                + ":"
                                + fault.line()
                                + ": only "
                                + maxNumber
                                + " exist, there is no number "
                                + fault.selection().number());
            }
        }
        return new Scenario(
                name,
                seedValue,
                durationMicros,
                initiators,
                maxPendingRequests,
                fleet,
                requestClasses,
                classLoads,
                planLoads,
                capabilities,
                ruleBounds,
                mustWatchEndpoints,
                load,
                network(singleStatements("network")),
                List.copyOf(faults));
    }

    private Scenario.Fleet fleet(Tokenizer tokens, Tokenizer listStatement)
            throws ScenarioFormatException {
        String countText = tokens.next();
        int targets = countText == null ? 8 : (int) tokens.number("targets", countText, "");
        if (targets < 1 || targets > 10_000) {
            throw tokens.error("targets must be 1 to 10000, not " + targets);
        }
        mustWatchEndpoints = listStatement.flag("asked");
        long[] lagMicros = listStatement.timeRange("lag", "100ms..300ms");
        listStatement.expectEnd();
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
                        lagMicros,
                        tokens.fraction("crowd", "0"),
                        tokens.time("connecting", "0"),
                        tokens.number("warmunits", "0"),
                        workDistribution(tokens));
        tokens.expectEnd();
        if (fleet.unitMicros() <= 0 || fleet.coreSpeeds()[0] <= 0) {
            throw tokens.error("unit and speed must be greater than 0");
        }
        return fleet;
    }

    private static Scenario.Network network(Tokenizer tokens) throws ScenarioFormatException {
        Scenario.Network network =
                new Scenario.Network(
                        tokens.timeRange("travel", "30us..90us"), tokens.time("turn", "30us"));
        tokens.expectEnd();
        if (network.latencyMicros()[0] < 1) {
            throw tokens.error("travel must be greater than 0");
        }
        return network;
    }

    private static WorkDistribution workDistribution(Tokenizer tokens)
            throws ScenarioFormatException {
        try {
            return WorkDistribution.of(tokens.text("work", "even"));
        } catch (IllegalArgumentException e) {
            throw tokens.error("work: " + e.getMessage());
        }
    }

    private void requestClass(
            Tokenizer tokens,
            List<RequestClass> requestClasses,
            List<Scenario.ClassLoad> classLoads)
            throws ScenarioFormatException {
        String requestClassName = tokens.next("the name of the category");
        double share = tokens.fraction("share", null);
        Idempotency idempotency = enumValue(tokens, "repeats", Idempotency.class, "harmless");
        DeduplicationScope deduplicationScope =
                enumValue(tokens, "group", DeduplicationScope.class, "all");
        double[] units = tokens.numberRange("units", "1..4");
        boolean isKeyOrdered = tokens.flag("ordered");
        boolean isWrite = tokens.flag("write");
        boolean isNewObject = tokens.flag("anywhere");
        RequestClass requestClass =
                new RequestClass(
                        requestClassName,
                        idempotency,
                        deduplicationScope,
                        tokens.time("window", "2500ms"),
                        isKeyOrdered,
                        tokens.time("agreed", null),
                        tokens.number("importance", "1"));
        classLoads.add(
                new Scenario.ClassLoad(
                        share,
                        (int) units[0],
                        (int) units[1],
                        isWrite,
                        isNewObject,
                        tokens.time("abandon", null)));
        requestClasses.add(requestClass);
        tokens.expectEnd();
    }

    private static <E extends Enum<E>> E enumValue(
            Tokenizer tokens, String name, Class<E> type, String defaultValue)
            throws ScenarioFormatException {
        String text = tokens.text(name, defaultValue);
        for (E value : type.getEnumConstants()) {
            if (Keyword.of(value).equals(text)) {
                return value;
            }
        }
        throw tokens.error(name + ": \"" + text + "\" is not a known value");
    }

    private static Scenario.PlanLoad planLoad(Tokenizer tokens) throws ScenarioFormatException {
        String planName = tokens.next("the name of the plan");
        ServicePlan servicePlan =
                new ServicePlan(
                        planName,
                        tokens.number("reserve", "0"),
                        tokens.number("weight", "1"),
                        tokens.number("limit", "0"),
                        tokens.number("depth", "0"),
                        tokens.number("slack", "0"));
        Scenario.PlanLoad planLoad =
                new Scenario.PlanLoad(
                        servicePlan,
                        tokens.fraction("share", null),
                        Math.max(1, tokens.wholeNumber("volumes", "8")),
                        Math.max(1, tokens.wholeNumber("hosts", "2")));
        tokens.expectEnd();
        return planLoad;
    }

    private static Scenario.RuleBounds ruleBounds(Tokenizer tokens) throws ScenarioFormatException {
        Scenario.RuleBounds ruleBounds =
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
        return ruleBounds;
    }

    /** Returns the comma-separated capture files, resolved against the directory of the script. */
    private static List<Path> captureFiles(Tokenizer tokens, String file)
            throws ScenarioFormatException {
        String text = tokens.text("traffic", "");
        Path directory = Path.of(file).toAbsolutePath().getParent();
        return text.isEmpty()
                ? List.of()
                : java.util.Arrays.stream(text.split(",")).map(directory::resolve).toList();
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
                        captureFiles(tokens, file),
                        tokens.number("speed", "1"));
        if (!(load.replaySpeed() > 0)) {
            throw tokens.error("speed must be greater than 0");
        }
        tokens.expectEnd();
        return load;
    }
}
