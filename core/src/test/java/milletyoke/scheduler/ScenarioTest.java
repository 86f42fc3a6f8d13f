package milletyoke.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs every scenario of src/test/resources/scenarios; the README there describes the notation. */
class ScenarioTest {
    private static final Map<String, Outcome> OUTCOMES =
            Map.of(
                    "ok",
                    Outcome.SUCCEEDED,
                    "error",
                    Outcome.ERROR,
                    "full",
                    Outcome.OVERLOADED,
                    "timeout",
                    Outcome.TIMED_OUT,
                    "noconn",
                    Outcome.NO_CONNECTION,
                    "reset",
                    Outcome.RESET,
                    "cancelled",
                    Outcome.CANCELLED,
                    "moot",
                    Outcome.NOT_STARTED);

    private final Map<String, String> givenValues = new HashMap<>();
    private final List<SchedulerSettings.RequestClass> requestClasses = new ArrayList<>();
    private final List<SchedulerSettings.ServicePlan> plans = new ArrayList<>();
    private final RequestScheduler scheduler = new RequestScheduler();

    /** Reports of attempts that the scheduler sent in earlier batches. */
    private final List<Event> writes = new ArrayList<>();

    static Stream<Arguments> scenarios() throws Exception {
        Path folder = Path.of(ScenarioTest.class.getResource("/scenarios").toURI());
        String common = Files.readString(folder.resolve("common.txt"));
        List<Arguments> scenarios = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".scn")).sorted().toList()) {
                for (String scenario : Files.readString(file).split("(?m)^== ", 0)) {
                    String[] titleAndBody = scenario.split("\n", 2);
                    if (titleAndBody.length == 2 && titleAndBody[1].contains("->")) {
                        scenarios.add(
                                Arguments.of(
                                        file.getFileName() + ": " + titleAndBody[0],
                                        common + titleAndBody[1]));
                    }
                }
            }
        }
        return scenarios.stream();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("scenarios")
    void actionsAreAsExpected(String name, String text) {
        List<Event> batch = new ArrayList<>();
        long time = 0;
        String script = text.replaceAll("#.*", "").replace("->", "\n->");
        for (String line :
                script.lines().map(String::trim).filter(stripped -> !stripped.isEmpty()).toList()) {
            ScenarioLine parsed = new ScenarioLine(line);
            if (line.startsWith("->")) {
                String expected = line.substring(2).trim();
                String actual = play(time, batch);
                boolean isCount = expected.matches("\\d+ relays");
                assertEquals(
                        expected,
                        isCount ? actual.split("relay ", -1).length - 1 + " relays" : actual,
                        () -> "actions expected in line: " + line + "\nof scenario:\n" + text);
                batch.clear();
            } else if (parsed.word(0).equals("given")) {
                givenValues.putAll(parsed.named);
            } else if (parsed.word(0).equals("category")) {
                requestClasses.add(requestClass(parsed));
            } else if (parsed.word(0).equals("plan")) {
                plans.add(plan(parsed.word(1), parsed));
            } else {
                if (!parsed.word(0).equals("+")) {
                    String[] span = parsed.word(0).split("\\.\\.", 0);
                    long end = Long.parseLong(span[span.length - 1]) * 1000;
                    for (long start = Long.parseLong(span[0]) * 1000;
                            start < end;
                            start += 50_000) {
                        play(time, batch);
                        batch.clear();
                        time = start;
                        parsed.expandIds().forEach(single -> batch.addAll(events(single)));
                    }
                    play(time, batch);
                    batch.clear();
                    time = end;
                }
                parsed.expandIds().forEach(single -> batch.addAll(events(single)));
            }
        }
        assertTrue(batch.isEmpty(), "the last batch has no line with expected actions");
    }

    private String play(long time, List<Event> batch) {
        String actions =
                batch.isEmpty()
                        ? ""
                        : decide(time, batch).stream()
                                .filter(action -> !(action instanceof Action.ScheduleWakeUp))
                                .map(ScenarioTest::text)
                                .collect(Collectors.joining(", "));
        return actions.isEmpty() ? "nothing" : actions;
    }

    /** Reports attempts as written at once, unless the scenario reports that itself. */
    private List<Action> decide(long time, List<Event> batch) {
        List<Event> events = new ArrayList<>(writes);
        events.addAll(batch);
        List<Action> actions = scheduler.decide(time, events);
        writes.clear();
        for (Action action : actions) {
            if (action instanceof Action.SendAttempt attempt
                    && !givenValues.containsKey("writes")) {
                writes.add(new Event.AttemptWritten(attempt.id(), time));
            }
        }
        return actions;
    }

    private static SchedulerSettings.ServicePlan plan(String name, ScenarioLine line) {
        return new SchedulerSettings.ServicePlan(
                name,
                line.number("reserve", 0),
                line.number("weight", 1),
                line.number("limit", 0),
                line.number("depth", 0),
                line.number("slack", 0));
    }

    private static String text(Action action) {
        if (action instanceof Action.SendAttempt attempt) {
            return "relay " + attempt.id() + " " + attempt.target();
        } else if (action instanceof Action.Reject rejection) {
            return "reject "
                    + rejection.id()
                    + (rejection.retryAfterMicros() > 0
                            ? " back=" + rejection.retryAfterMicros() / 1000
                            : "");
        } else if (action instanceof Action.Fail failure) {
            return "break " + failure.id();
        } else if (action instanceof Action.CancelAttempt cancellation) {
            return "cancel " + cancellation.id() + " " + cancellation.attemptNumber();
        }
        return action instanceof Action.SendProbe probe ? "probe " + probe.target() : "follow";
    }

    /** Returns the events of a line; a start may list the targets of the stored endpoint list. */
    private List<Event> events(ScenarioLine line) {
        boolean hasStoredList = line.word(1).equals("start") && line.words.size() > 2;
        return hasStoredList ? List.of(event(line), list("restored", line)) : List.of(event(line));
    }

    private static Event list(String scope, ScenarioLine line) {
        return new Event.EndpointListReceived(
                Event.ListScope.valueOf(scope.toUpperCase(Locale.ROOT)),
                line.words.subList(2, line.words.size()).stream()
                        .map(ScenarioTest::target)
                        .toList());
    }

    private Event event(ScenarioLine line) {
        return switch (line.word(1)) {
            case "start" -> new Event.Started(7, settings());
            case "tick" -> new Event.WakeUp();
            case "take" ->
                    new Event.RequestReceived(
                            line.word(2),
                            (int) line.number("at", 0),
                            line.named.get("x"),
                            line.named.getOrDefault("vol", "v"),
                            line.ms("ttl", 2000),
                            line.named.getOrDefault("plan", "flat"),
                            line.named.getOrDefault("cat", "read"),
                            (int) line.number("hosts", 1),
                            line.number("units", 1));
            case "written" -> new Event.AttemptWritten(line.word(2), line.ms("at", 0));
            case "end" ->
                    new Event.AttemptEnded(
                            line.word(2),
                            Integer.parseInt(line.word(3)),
                            line.word(4).equals("ok") || line.words.contains("over"),
                            OUTCOMES.get(line.word(4)),
                            line.ms("lag", 20));
            case "probed" ->
                    new Event.ProbeEnded(
                            line.word(2),
                            OUTCOMES.get(line.word(3)),
                            line.ms("lag", 1),
                            line.number("waiting", -1));
            case "plan" -> {
                plans.removeIf(plan -> plan.name().equals(line.word(2)));
                plans.add(plan(line.word(2), line));
                yield new Event.SettingsChanged(settings());
            }
            case "gone" -> new Event.RequestClosed(line.word(2));
            default -> list(line.word(1), line);
        };
    }

    /** Parses a target: id@shard, then optionally /health, %zone and :startedAt. */
    private static Event.Target target(String text) {
        Map<Character, String> parts = new HashMap<>();
        for (String part : text.split("(?=[@/%:])", 0)) {
            parts.put(
                    "@/%:".indexOf(part.charAt(0)) < 0 ? 'i' : part.charAt(0),
                    part.replaceAll("^[@/%:]", ""));
        }
        return new Event.Target(
                Integer.parseInt(parts.get('@')),
                parts.get('i'),
                parts.getOrDefault('%', "z"),
                health(parts.getOrDefault('/', "on")),
                Long.parseLong(parts.getOrDefault(':', "0")) * 1000);
    }

    private static Event.Health health(String keyword) {
        return switch (keyword) {
            case "on" -> Event.Health.ACTIVE;
            case "draining" -> Event.Health.DRAINING;
            case "gone" -> Event.Health.REMOVED;
            default -> throw new IllegalArgumentException("unknown target health: " + keyword);
        };
    }

    private static SchedulerSettings.Idempotency idempotency(String keyword) {
        return Stream.of(SchedulerSettings.Idempotency.values())
                .filter(idempotency -> idempotency.keyword().equals(keyword.replace('_', '-')))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown idempotency: " + keyword));
    }

    private static SchedulerSettings.RequestClass requestClass(ScenarioLine line) {
        return new SchedulerSettings.RequestClass(
                line.word(1),
                idempotency(line.word(2)),
                SchedulerSettings.DeduplicationScope.valueOf(
                        line.named.getOrDefault("group", "all").toUpperCase(Locale.ROOT)),
                line.ms("window", 0),
                line.words.contains("ordered"),
                line.ms("agreed", 400),
                line.number("importance", 2));
    }

    private SchedulerSettings settings() {
        ScenarioLine given = new ScenarioLine("given");
        given.named.putAll(givenValues);
        return new SchedulerSettings(
                (int) given.number("initiators", 1),
                requestClasses,
                plans,
                new SchedulerSettings.Capabilities(
                        (int) given.number("relays", 3),
                        given.number("probes", 0) > 0,
                        given.number("cancels", 0) > 0,
                        given.number("advice", 0) > 0,
                        given.ms("advice", 0)),
                new SchedulerSettings.RuleLimits(
                        given.ms("quiet", 0),
                        given.ms("cold", 0),
                        given.number("coldShare", 0.25),
                        given.number("bears", 0),
                        given.ms("fall", 0),
                        given.number("tip", 2),
                        given.number("free", 0),
                        given.number("share", 0),
                        given.ms("span", 0),
                        given.ms("askIn", 0)),
                given.number("ask", 0) > 0);
    }

    /** The words of one line and its name=value pairs. */
    private static final class ScenarioLine {
        final List<String> words = new ArrayList<>();
        final Map<String, String> named = new HashMap<>();

        ScenarioLine(String line) {
            for (String part : line.split("\\s+", 0)) {
                String[] pair = part.split("=", 2);
                if (pair.length == 2) {
                    named.put(pair[0], pair[1]);
                } else {
                    words.add(part);
                }
            }
        }

        /** Returns one line for each of a range of ids, such as r1..r20. */
        List<ScenarioLine> expandIds() {
            String[] ends = words.size() < 3 ? new String[0] : words.get(2).split("\\.\\.", 0);
            return ends.length < 2
                    ? List.of(this)
                    : IntStream.rangeClosed(suffixOf(ends[0]), suffixOf(ends[1]))
                            .mapToObj(
                                    suffix -> {
                                        ScenarioLine single =
                                                new ScenarioLine(String.join(" ", words));
                                        single.words.set(
                                                2, ends[0].replaceAll("\\d+$", "") + suffix);
                                        single.named.putAll(named);
                                        return single;
                                    })
                            .toList();
        }

        private static int suffixOf(String id) {
            return Integer.parseInt(id.replaceAll("^\\D+", ""));
        }

        String word(int i) {
            return words.get(i);
        }

        double number(String name, double absent) {
            return Double.parseDouble(named.getOrDefault(name, String.valueOf(absent)));
        }

        long ms(String name, long absent) {
            return Math.round(1000 * number(name, (double) absent));
        }
    }
}
