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

/** Runs every scenario of src/test/resources/scenarios; their README describes the notation. */
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

    private final Map<String, String> givenFigures = new HashMap<>();
    private final List<SchedulerSettings.RequestClass> requestClasses = new ArrayList<>();
    private final List<SchedulerSettings.ServicePlan> plans = new ArrayList<>();
    private final RequestScheduler scheduler = new RequestScheduler();

    static Stream<Arguments> scenarios() throws Exception {
        Path folder = Path.of(ScenarioTest.class.getResource("/scenarios").toURI());
        String common = Files.readString(folder.resolve("common.txt"));
        List<Arguments> all = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".scn")).sorted().toList()) {
                for (String part : Files.readString(file).split("(?m)^== ", 0)) {
                    String[] split = part.split("\n", 2);
                    if (split.length == 2 && split[1].contains("->")) {
                        all.add(
                                Arguments.of(
                                        file.getFileName() + ": " + split[0], common + split[1]));
                    }
                }
            }
        }
        return all.stream();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("scenarios")
    void actionsAreAsExpected(String name, String text) {
        List<Event> batch = new ArrayList<>();
        long at = 0;
        String bare = text.replaceAll("#.*", "").replace("->", "\n->");
        for (String line : bare.lines().map(String::trim).filter(l -> !l.isEmpty()).toList()) {
            ScenarioLine w = new ScenarioLine(line);
            if (line.startsWith("->")) {
                String expected = line.substring(2).trim();
                String told = play(at, batch);
                boolean counted = expected.matches("\\d+ relays");
                assertEquals(
                        expected,
                        counted ? told.split("relay ", -1).length - 1 + " relays" : told,
                        () -> "before: " + line + " in\n" + text);
                batch.clear();
            } else if (w.word(0).equals("given")) {
                givenFigures.putAll(w.named);
            } else if (w.word(0).equals("category")) {
                requestClasses.add(requestClass(w));
            } else if (w.word(0).equals("plan")) {
                plans.add(plan(w.word(1), w));
            } else {
                if (!w.word(0).equals("+")) {
                    String[] span = w.word(0).split("\\.\\.", 0);
                    long last = Long.parseLong(span[span.length - 1]) * 1000;
                    for (long next = Long.parseLong(span[0]) * 1000; next < last; next += 50_000) {
                        play(at, batch);
                        batch.clear();
                        at = next;
                        w.each().forEach(one -> batch.addAll(events(one)));
                    }
                    play(at, batch);
                    batch.clear();
                    at = last;
                }
                w.each().forEach(one -> batch.addAll(events(one)));
            }
        }
        assertTrue(batch.isEmpty(), "the last batch has no expectation");
    }

    private String play(long at, List<Event> batch) {
        String told =
                batch.isEmpty()
                        ? ""
                        : scheduler.decide(at, batch).stream()
                                .filter(a -> !(a instanceof Action.ScheduleWakeUp))
                                .map(ScenarioTest::text)
                                .collect(Collectors.joining(", "));
        return told.isEmpty() ? "nothing" : told;
    }

    private static SchedulerSettings.ServicePlan plan(String name, ScenarioLine w) {
        return new SchedulerSettings.ServicePlan(
                name,
                w.figure("reserve", 0),
                w.figure("weight", 1),
                w.figure("limit", 0),
                w.figure("depth", 0),
                w.figure("slack", 0));
    }

    private static String text(Action action) {
        if (action instanceof Action.SendAttempt a) {
            return "relay " + a.id() + " " + a.target();
        } else if (action instanceof Action.Reject a) {
            return "reject "
                    + a.id()
                    + (a.retryAfterMicros() > 0 ? " back=" + a.retryAfterMicros() / 1000 : "");
        } else if (action instanceof Action.Fail a) {
            return "break " + a.id();
        } else if (action instanceof Action.CancelAttempt a) {
            return "cancel " + a.id() + " " + a.attemptNumber();
        }
        return action instanceof Action.SendProbe a ? "probe " + a.target() : "follow";
    }

    /** A start may name the targets of the stored endpoint list. */
    private List<Event> events(ScenarioLine w) {
        boolean known = w.word(1).equals("start") && w.words.size() > 2;
        return known ? List.of(event(w), list("restored", w)) : List.of(event(w));
    }

    private static Event list(String scope, ScenarioLine w) {
        return new Event.EndpointListReceived(
                Event.ListScope.valueOf(scope.toUpperCase(Locale.ROOT)),
                w.words.subList(2, w.words.size()).stream().map(ScenarioTest::target).toList());
    }

    private Event event(ScenarioLine w) {
        return switch (w.word(1)) {
            case "start" -> new Event.Started(7, settings());
            case "tick" -> new Event.WakeUp();
            case "take" ->
                    new Event.RequestReceived(
                            w.word(2),
                            (int) w.figure("at", 0),
                            w.named.get("x"),
                            w.named.getOrDefault("vol", "v"),
                            w.ms("ttl", 2000),
                            w.named.getOrDefault("plan", "flat"),
                            w.named.getOrDefault("cat", "read"),
                            (int) w.figure("hosts", 1),
                            w.figure("units", 1));
            case "end" ->
                    new Event.AttemptEnded(
                            w.word(2),
                            Integer.parseInt(w.word(3)),
                            w.word(4).equals("ok") || w.words.contains("over"),
                            OUTCOMES.get(w.word(4)),
                            w.ms("lag", 20));
            case "probed" ->
                    new Event.ProbeEnded(
                            w.word(2),
                            OUTCOMES.get(w.word(3)),
                            w.ms("lag", 1),
                            w.figure("waiting", -1));
            case "plan" -> {
                plans.removeIf(p -> p.name().equals(w.word(2)));
                plans.add(plan(w.word(2), w));
                yield new Event.SettingsChanged(settings());
            }
            case "gone" -> new Event.RequestClosed(w.word(2));
            default -> list(w.word(1), w);
        };
    }

    /** A target is written as id@shard, then /health, %zone and :startedAt where they matter. */
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

    private static Event.Health health(String word) {
        return switch (word) {
            case "on" -> Event.Health.ACTIVE;
            case "draining" -> Event.Health.DRAINING;
            case "gone" -> Event.Health.REMOVED;
            default -> throw new IllegalArgumentException("health " + word);
        };
    }

    private static SchedulerSettings.Idempotency idempotency(String word) {
        return Stream.of(SchedulerSettings.Idempotency.values())
                .filter(i -> i.keyword().equals(word.replace('_', '-')))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("idempotency " + word));
    }

    private static SchedulerSettings.RequestClass requestClass(ScenarioLine w) {
        return new SchedulerSettings.RequestClass(
                w.word(1),
                idempotency(w.word(2)),
                SchedulerSettings.DeduplicationScope.valueOf(
                        w.named.getOrDefault("group", "all").toUpperCase(Locale.ROOT)),
                w.ms("window", 0),
                w.words.contains("ordered"),
                w.ms("agreed", 400),
                w.figure("importance", 2));
    }

    private SchedulerSettings settings() {
        ScenarioLine g = new ScenarioLine("given");
        g.named.putAll(givenFigures);
        return new SchedulerSettings(
                (int) g.figure("initiators", 1),
                requestClasses,
                plans,
                new SchedulerSettings.Capabilities(
                        (int) g.figure("relays", 3),
                        g.figure("probes", 0) > 0,
                        g.figure("cancels", 0) > 0,
                        g.figure("advice", 0) > 0,
                        g.ms("advice", 0)),
                new SchedulerSettings.RuleLimits(
                        g.ms("quiet", 0),
                        g.ms("cold", 0),
                        g.figure("coldShare", 0.25),
                        g.figure("bears", 0),
                        g.ms("fall", 0),
                        g.figure("tip", 2),
                        g.figure("free", 0),
                        g.figure("share", 0),
                        g.ms("span", 0),
                        g.ms("askIn", 0)),
                g.figure("ask", 0) > 0);
    }

    /** The words of one line, and its name=value pairs. */
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

        /** One line for each of a range of ids, such as r1..r20. */
        List<ScenarioLine> each() {
            String[] ends = words.size() < 3 ? new String[0] : words.get(2).split("\\.\\.", 0);
            return ends.length < 2
                    ? List.of(this)
                    : IntStream.rangeClosed(number(ends[0]), number(ends[1]))
                            .mapToObj(
                                    i -> {
                                        ScenarioLine one =
                                                new ScenarioLine(String.join(" ", words));
                                        one.words.set(2, ends[0].replaceAll("\\d+$", "") + i);
                                        one.named.putAll(named);
                                        return one;
                                    })
                            .toList();
        }

        private static int number(String id) {
            return Integer.parseInt(id.replaceAll("^\\D+", ""));
        }

        String word(int i) {
            return words.get(i);
        }

        double figure(String name, double absent) {
            return Double.parseDouble(named.getOrDefault(name, String.valueOf(absent)));
        }

        long ms(String name, long absent) {
            return Math.round(1000 * figure(name, (double) absent));
        }
    }
}
