package milletyoke.scenario.script;

import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.scenario.script.Scenario.FaultType;
import milletyoke.scenario.script.Scenario.Selection;

/**
 * Parses the fault of one statement: its keyword and its options. The keywords are part of the
 * script notation (docs/rehearsal.md).
 */
final class FaultParser {
    private static final double MAX_SURGE = 20;

    private final Tokenizer tokens;
    private Selection selection = new Selection(0, 0);
    private long durationMicros;
    private double magnitude;
    private long[] range = {0, 0};
    private long intervalMicros;
    private int count;
    private long downtimeMicros;
    private String name = "";

    private FaultParser(Tokenizer tokens) {
        this.tokens = tokens;
    }

    /**
     * Parses the rest of a statement.
     *
     * @param atMicros when the fault begins, since the start of the load
     * @param line line number of the statement, for messages
     */
    static Fault parse(Tokenizer tokens, long atMicros, int line) throws ScenarioFormatException {
        String keyword = tokens.next("the fault type");
        FaultParser parser = new FaultParser(tokens);
        FaultType type = parser.parseOptions(keyword);
        tokens.expectEnd();
        return new Fault(
                atMicros,
                line,
                type,
                parser.selection,
                parser.durationMicros,
                parser.magnitude,
                parser.range,
                parser.intervalMicros,
                parser.count,
                parser.downtimeMicros,
                parser.name);
    }

    private FaultType parseOptions(String keyword) throws ScenarioFormatException {
        return switch (keyword) {
            case "hang" -> selectedForDuration(FaultType.HANG);
            case "unreachable" -> selectedForDuration(FaultType.UNREACHABLE);
            case "drain" -> selectedForDuration(FaultType.DRAIN);
            case "still" -> selectedForDuration(FaultType.STILL);
            case "slow" -> slow();
            case "pauses" -> pauses();
            case "errors" -> fractionOfAttempts(FaultType.ERRORS);
            case "lost" -> fractionOfAttempts(FaultType.LOST);
            case "resets" -> resets();
            case "restart" -> restart(FaultType.RESTART, "500ms");
            case "kill" -> restart(FaultType.KILL, "1s");
            case "leave" -> restart(FaultType.LEAVE, "1s");
            case "roll" -> roll();
            case "age" -> age();
            case "list" -> endpointList();
            case "surge" -> surge();
            case "hotkey" -> hotKey();
            case "partition" -> partition();
            case "clock" -> clockStep();
            case "reconnect" -> FaultType.RECONNECT;
            case "limit" -> limitChange();
            default -> throw tokens.error("\"" + keyword + "\" is not a fault type");
        };
    }

    private FaultType selectedForDuration(FaultType type) throws ScenarioFormatException {
        parseSelection();
        parseDuration();
        return type;
    }

    private FaultType slow() throws ScenarioFormatException {
        parseSelection();
        magnitude = tokens.number("by", null);
        parseDuration();
        return FaultType.SLOW;
    }

    private FaultType pauses() throws ScenarioFormatException {
        parseSelection();
        range = tokens.timeRange("of", null);
        intervalMicros = tokens.time("every", "2s");
        parseDuration();
        return FaultType.PAUSES;
    }

    private FaultType fractionOfAttempts(FaultType type) throws ScenarioFormatException {
        parseSelection();
        magnitude = tokens.fraction("part", "60%");
        parseDuration();
        return type;
    }

    private FaultType resets() throws ScenarioFormatException {
        parseSelection();
        intervalMicros = tokens.time("every", "200ms");
        parseDuration();
        return FaultType.RESETS;
    }

    private FaultType restart(FaultType type, String defaultDowntime)
            throws ScenarioFormatException {
        parseSelection();
        range = tokens.timeRange("down", defaultDowntime);
        return type;
    }

    private FaultType roll() throws ScenarioFormatException {
        parseSelection();
        durationMicros = tokens.time("over", null);
        downtimeMicros = tokens.time("down", "300ms");
        return FaultType.ROLL;
    }

    private FaultType age() throws ScenarioFormatException {
        parseSelection();
        magnitude = tokens.number("to", "6");
        durationMicros = tokens.time("over", null);
        downtimeMicros = tokens.time("down", "500ms");
        return FaultType.AGE;
    }

    private FaultType endpointList() throws ScenarioFormatException {
        String kind = tokens.next("late, partial, unavailable or flap");
        FaultType type =
                switch (kind) {
                    case "late" -> FaultType.LIST_LATE;
                    case "partial" -> FaultType.LIST_PARTIAL;
                    case "unavailable" -> FaultType.LIST_UNAVAILABLE;
                    case "flap" -> FaultType.LIST_FLAP;
                    default ->
                            throw tokens.error(
                                    "list: expected late, partial, unavailable or flap, not \""
                                            + kind
                                            + "\"");
                };
        if (type == FaultType.LIST_LATE) {
            range = tokens.timeRange("by", null);
        } else if (type != FaultType.LIST_UNAVAILABLE) {
            parseSelection();
        }
        if (type == FaultType.LIST_FLAP) {
            intervalMicros = tokens.time("every", "200ms");
        }
        parseDuration();
        return type;
    }

    private FaultType surge() throws ScenarioFormatException {
        count = Math.max(1, tokens.wholeNumber("volumes", "3"));
        magnitude = tokens.fraction("by", tokens.text("by", "50%"), MAX_SURGE);
        parseDuration();
        return FaultType.SURGE;
    }

    private FaultType hotKey() throws ScenarioFormatException {
        magnitude = tokens.fraction("part", "30%");
        parseDuration();
        return FaultType.HOTKEY;
    }

    private FaultType partition() throws ScenarioFormatException {
        parseSelection();
        Selection targets = selection(tokens.text("targets", null));
        magnitude = targets.part();
        count = targets.number();
        intervalMicros += tokens.flag("oneway") ? Scenario.ONE_WAY : 0;
        intervalMicros += tokens.flag("grey") ? Scenario.GREY : 0;
        parseDuration();
        return FaultType.PARTITION;
    }

    private FaultType clockStep() throws ScenarioFormatException {
        durationMicros = tokens.time("ahead", "0") - tokens.time("back", "0");
        return FaultType.CLOCK;
    }

    private FaultType limitChange() throws ScenarioFormatException {
        name = tokens.next("the name of the plan");
        magnitude = tokens.number("rate", null);
        range = new long[] {tokens.wholeNumber("depth", null), tokens.wholeNumber("slack", "0")};
        return FaultType.LIMIT;
    }

    private void parseDuration() throws ScenarioFormatException {
        durationMicros = tokens.time("for", null);
    }

    private void parseSelection() throws ScenarioFormatException {
        selection = selection(tokens.next("the selection, as 40% or a number from 1,"));
    }

    /** Parses a selection: a fraction such as 40%, or a number such as 2. */
    private Selection selection(String text) throws ScenarioFormatException {
        if (text.endsWith("%")) {
            return new Selection(tokens.fraction("selection", text, 1), 0);
        }
        int number = (int) tokens.number("selection", text, "");
        if (number < 1) {
            throw tokens.error("selection: numbers begin at 1");
        }
        return new Selection(0, number);
    }
}
