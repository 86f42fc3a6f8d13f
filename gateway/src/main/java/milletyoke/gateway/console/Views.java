package milletyoke.gateway.console;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import milletyoke.gateway.fleet.Following;
import milletyoke.gateway.loop.Count;
import milletyoke.gateway.loop.Counts;
import milletyoke.gateway.loop.Loop;
import milletyoke.gateway.picture.Accounts;
import milletyoke.gateway.picture.Picture;
import milletyoke.gateway.picture.Picture.Second;
import milletyoke.gateway.picture.Picture.Tally;
import milletyoke.gateway.setup.Setup;
import milletyoke.lifecycle.Condition;
import milletyoke.port.Action;
import milletyoke.port.Provisioning;

/**
 * What each page shows, as data: the page, its JSON and its stream are all made of this and of
 * nothing else, so what a tenant may not see is left out at one place. A page that is added to
 * {@link #PAGES} is served, streamed and crawled by the tests without being named anywhere else.
 */
final class Views {
    /** One page. */
    interface Page {
        View see(Views views, Sight sight, Ask ask);
    }

    /**
     * What of it is asked for. @param find text that a row's name must have; {@code page} from 0
     */
    record Ask(String find, int page) {
        static final Ask FIRST = new Ask("", 0);
    }

    /** A table; {@code total} rows there are for this sight, of which these are shown. */
    record Table(String name, List<String> columns, List<List<Object>> rows, int total, int page) {}

    /** A line of a chart: one point a second, oldest first; null where nothing happened. */
    record Line(String name, List<Double> points) {}

    record Chart(String name, String unit, List<Line> lines) {}

    record View(
            String title, Map<String, Object> figures, List<Table> tables, List<Chart> charts) {}

    static final Map<String, Page> PAGES = pages();
    static final int ROWS = 50;
    private static final int CHARTED = 120;

    private final Setup setup;
    private final Loop loop;
    private final Journal journal;
    private final Counts counts;

    /** Null where the deployment stands in the setup. */
    private final Following following;

    private final Instant began = Instant.now();
    private final long beganMicros;

    Views(
            Setup setup,
            Loop loop,
            Journal journal,
            Counts counts,
            Following following,
            long nowMicros) {
        this.following = following;
        this.counts = counts;
        this.setup = setup;
        this.loop = loop;
        this.journal = journal;
        beganMicros = nowMicros;
    }

    private static Map<String, Page> pages() {
        Map<String, Page> all = new LinkedHashMap<>();
        all.put("overview", Views::overview);
        all.put("targets", Views::targets);
        all.put("volumes", Views::volumes);
        all.put("categories", Views::categories);
        all.put("events", Views::events);
        all.put("configuration", Views::configuration);
        all.put("setup", Views::setup);
        return java.util.Collections.unmodifiableMap(all);
    }

    View of(String page, Sight sight, Ask ask) {
        return PAGES.get(page).see(this, sight, ask);
    }

    // ---- The pages ----

    private View overview(Sight sight, Ask ask) {
        Picture p = loop.picture();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("initiator", p.name());
        figures.put("condition", word(p.condition(), sight));
        figures.put("told", tells(p.condition(), sight));
        if (!sight.all()) {
            Tally own = own(p, sight);
            tally(figures, own);
            return new View("Overview", figures, List.of(), List.of());
        }
        figures.put("places taken", p.places() + " of " + setup.room().held());
        figures.put("room used", percent(p.used()));
        figures.put("relays out", p.out());
        figures.put("targets", p.targets().size());
        figures.put(
                "not on",
                p.targets().stream()
                        .filter(t -> !t.state().equals("on"))
                        .map(t -> t.look().id() + " " + t.state())
                        .sorted()
                        .limit(20)
                        .reduce((a, b) -> a + ", " + b)
                        .orElse("none"));
        figures.put("list version", p.listVersion());
        figures.put("turn p50", micros(p.turnP50()));
        figures.put("turn p99", micros(p.turnP99()));
        figures.put("pictures cost", percent(p.costs()));
        figures.put("late answers, of late", percent(p.lateShare()));
        figures.put("further relays that succeed", percent(p.furtherSuccess()));
        List<List<Object>> rows = new ArrayList<>();
        p.categories().forEach((name, t) -> rows.add(row(name, t)));
        List<List<Object>> why = why(p);
        return new View(
                "Overview",
                figures,
                List.of(
                        new Table(
                                "why accesses wait or are rejected",
                                List.of("what", "why", "waiting"),
                                why,
                                why.size(),
                                0),
                        new Table("service by category", TALLY, rows, rows.size(), 0)),
                List.of(service(sight), lag()));
    }

    private static String word(Condition c, Sight sight) {
        return sight.all()
                ? c.name().toLowerCase(Locale.ROOT).replace('_', ' ')
                : c.admits() ? "in service" : "not taking";
    }

    /** A tenant must not read others' load from the condition. */
    private static String tells(Condition c, Sight sight) {
        return sight.all() ? c.tells() : c.admits() ? "takes accesses" : "takes nothing new";
    }

    private static Tally own(Picture p, Sight sight) {
        long asked = 0, answered = 0, inTime = 0, rejected = 0, brokenOff = 0;
        for (Picture.Volume v : p.volumes().values()) {
            if (sight.sees(v.name())) {
                Tally t = v.tally();
                asked += t.asked();
                answered += t.answered();
                inTime += t.inTime();
                rejected += t.rejected();
                brokenOff += t.brokenOff();
            }
        }
        return new Tally(asked, answered, inTime, rejected, brokenOff);
    }

    private static void tally(Map<String, Object> figures, Tally t) {
        figures.put("asked", t.asked());
        figures.put("answered", t.answered());
        figures.put("in time", percent(t.service()));
        figures.put("rejected", t.rejected());
        figures.put("broken off", t.brokenOff());
    }

    /** What holds accesses up, as far as one initiator can know it: the gravest first. */
    private List<List<Object>> why(Picture p) {
        List<List<Object>> rows = new ArrayList<>();
        if (!p.condition().admits() || p.condition() == Condition.SATURATED) {
            rows.add(List.of("this initiator", p.condition().tells(), 0));
        }
        Map<Integer, Integer> waiting = new LinkedHashMap<>();
        p.nodes().forEach(n -> waiting.put(n.shard(), n.waiting()));
        p.nodes().stream()
                .filter(n -> n.target() == null && n.waiting() > 0)
                .forEach(
                        n ->
                                rows.add(
                                        List.of(
                                                "shard " + n.shard(),
                                                "no target in service holds it",
                                                n.waiting())));
        for (Picture.Target t : p.targets()) {
            String cause = cause(t.state());
            if (cause != null) {
                rows.add(List.of(t.look().id(), cause, waiting.getOrDefault(t.look().shard(), 0)));
            }
        }
        p.volumes().values().stream()
                .filter(
                        v ->
                                v.left().limit() >= 0
                                        && v.left().limit() < 1
                                        && v.left().waiting() > 0)
                .sorted(
                        Comparator.comparing((Picture.Volume v) -> -v.left().waiting())
                                .thenComparing(Picture.Volume::name))
                .limit(10)
                .forEach(
                        v ->
                                rows.add(
                                        List.of(
                                                v.name(),
                                                "at the limit of its plan " + v.plan(),
                                                v.left().waiting())));
        refused(rows, Count.NO_PLACE, "beyond the places of all, of a connection or of a volume");
        refused(rows, Count.REJECTED_CONDITION, "came while nothing was taken");
        refused(
                rows,
                Count.UNACCEPTABLE,
                "named no category or plan of ours, or a figure out of range");
        return rows;
    }

    private static String cause(String state) {
        return switch (state) {
            case "silent" -> "silent: it owes answers and gives none; single trials only";
            case "cold" -> "cold: held to what it surely bears";
            case "resting" -> "resting: its answers came late; only what fits goes there";
            case "draining", "drained here" -> "takes nothing new: " + state;
            default -> null;
        };
    }

    private void refused(List<List<Object>> rows, Count count, String why) {
        if (counts.of(count) > 0) {
            rows.add(List.of(counts.of(count) + " accesses since the start", why, 0));
        }
    }

    private static final List<String> TALLY =
            List.of("name", "asked", "answered", "in time", "rejected", "broken off");

    private static List<Object> row(String name, Tally t) {
        return List.of(
                name, t.asked(), t.answered(), percent(t.service()), t.rejected(), t.brokenOff());
    }

    private View targets(Sight sight, Ask ask) {
        Picture p = loop.picture();
        List<List<Object>> rows = new ArrayList<>();
        if (!sight.all()) {
            for (Picture.Target t : p.targets()) {
                if (t.look().id().contains(ask.find())) {
                    rows.add(
                            List.of(
                                    t.look().id(),
                                    t.look().usable() && !t.drainedHere()
                                            ? "on"
                                            : "not in service"));
                }
            }
            return new View(
                    "Targets",
                    Map.of(),
                    List.of(cut("targets", List.of("target", "state"), rows, ask)),
                    List.of());
        }
        for (Picture.Target t : p.targets()) {
            var l = t.look();
            if (l.id().contains(ask.find())) {
                rows.add(
                        List.of(
                                l.id(),
                                t.state(),
                                l.shard(),
                                l.zone(),
                                l.out(),
                                round(l.window()),
                                micros((long) l.lag()),
                                l.told() ? micros((long) l.crowd()) : "-",
                                age(p.at(), l.launched()),
                                t.tally().asked(),
                                percent(t.tally().service())));
            }
        }
        List<List<Object>> nodes = new ArrayList<>();
        p.nodes().stream()
                .sorted(Comparator.comparingInt(n -> n.shard()))
                .forEach(
                        n ->
                                nodes.add(
                                        List.of(
                                                n.shard(),
                                                n.target() == null ? "nobody" : n.target(),
                                                n.waiting(),
                                                n.volumes())));
        return new View(
                "Targets",
                Map.of("list version", p.listVersion()),
                List.of(
                        cut(
                                "targets",
                                List.of(
                                        "target",
                                        "state",
                                        "shard",
                                        "zone",
                                        "out",
                                        "window",
                                        "lag",
                                        "told to wait",
                                        "up for",
                                        "relays",
                                        "succeeded"),
                                rows,
                                ask),
                        cut(
                                "shards",
                                List.of("shard", "held by", "waiting here", "of volumes"),
                                nodes,
                                Ask.FIRST)),
                List.of(lag()));
    }

    private View volumes(Sight sight, Ask ask) {
        Picture p = loop.picture();
        List<Picture.Volume> seen =
                p.volumes().values().stream()
                        .filter(v -> sight.sees(v.name()) && v.name().contains(ask.find()))
                        .sorted(
                                Comparator.comparingLong((Picture.Volume v) -> -v.tally().asked())
                                        .thenComparing(Picture.Volume::name))
                        .toList();
        List<List<Object>> rows = new ArrayList<>();
        for (Picture.Volume v : seen.subList(from(seen.size(), ask), to(seen.size(), ask))) {
            Tally t = v.tally();
            rows.add(
                    List.of(
                            v.name(),
                            v.plan(),
                            v.held(),
                            v.left().waiting(),
                            t.asked(),
                            t.answered(),
                            percent(t.service()),
                            t.rejected(),
                            t.brokenOff(),
                            v.left().limit() < 0 ? "no limit" : round(v.left().limit()),
                            round(v.left().reserve())));
        }
        Table table =
                new Table(
                        "volumes",
                        List.of(
                                "volume",
                                "plan",
                                "held",
                                "waiting",
                                "asked",
                                "answered",
                                "in time",
                                "rejected",
                                "broken off",
                                "limit left",
                                "reserve owed"),
                        rows,
                        seen.size(),
                        ask.page());
        return new View(
                "Volumes",
                sight.all() ? Map.of("not counted in yet", p.behind()) : Map.of(),
                List.of(table),
                List.of(asked(sight)));
    }

    private View categories(Sight sight, Ask ask) {
        Picture p = loop.picture();
        Provisioning given = setup.deployment().provisioning();
        List<List<Object>> rows = new ArrayList<>();
        for (Provisioning.Category c : given.categories()) {
            if (sight.all()) {
                Tally t = p.categories().get(c.name());
                rows.add(
                        List.of(
                                c.name(),
                                words(c.repeats()),
                                micros(c.agreedTime()),
                                c.importance(),
                                t.asked(),
                                percent(t.service()),
                                t.rejected(),
                                t.brokenOff()));
            } else {
                rows.add(List.of(c.name(), words(c.repeats()), micros(c.agreedTime())));
            }
        }
        List<String> columns =
                sight.all()
                        ? List.of(
                                "category",
                                "repeats",
                                "agreed time",
                                "importance",
                                "asked",
                                "in time",
                                "rejected",
                                "broken off")
                        : List.of("category", "repeats", "agreed time");
        List<Table> tables = new ArrayList<>(List.of(cut("categories", columns, rows, Ask.FIRST)));
        if (sight.all()) {
            List<List<Object>> plans = new ArrayList<>();
            p.plans().forEach((name, t) -> plans.add(row(name, t)));
            tables.add(cut("plans", TALLY, plans, Ask.FIRST));
        }
        return new View(
                "Service by category",
                Map.of(),
                tables,
                sight.all() ? List.of(service(sight)) : List.of());
    }

    private View events(Sight sight, Ask ask) {
        Picture p = loop.picture();
        List<Picture.Happening> seen = new ArrayList<>();
        for (int i = p.events().size() - 1; i >= 0; i--) {
            Picture.Happening h = p.events().get(i);
            boolean own = h.volume() == null ? sight.all() : sight.sees(h.volume());
            if (own && h.what().contains(ask.find())) {
                seen.add(h);
            }
        }
        List<List<Object>> rows = new ArrayList<>();
        seen.subList(from(seen.size(), ask), to(seen.size(), ask))
                .forEach(h -> rows.add(List.of(clock(h.at()), h.kind(), h.what())));
        List<Table> tables = new ArrayList<>();
        tables.add(
                new Table("events", List.of("at", "kind", "what"), rows, seen.size(), ask.page()));
        List<List<Object>> decided = new ArrayList<>();
        p.decided().stream()
                .filter(d -> d.volume() == null ? sight.all() : sight.sees(d.volume()))
                .forEach(
                        d ->
                                decided.add(
                                        List.of(
                                                clock(d.at()),
                                                d.volume() == null ? "-" : d.volume(),
                                                words(d.action(), sight))));
        tables.add(cut("latest decisions", List.of("at", "volume", "decided"), decided, Ask.FIRST));
        if (sight.all()) {
            List<List<Object>> deeds = new ArrayList<>();
            journal.latest()
                    .forEach(
                            d ->
                                    deeds.add(
                                            0,
                                            List.of(
                                                    d.at().toString(),
                                                    d.who(),
                                                    d.what(),
                                                    d.whom())));
            tables.add(
                    cut(
                            "operators' actions",
                            List.of("at", "who", "what", "whom"),
                            deeds,
                            Ask.FIRST));
        }
        return new View("Events", Map.of(), tables, List.of());
    }

    /**
     * The version in force, what it changed, and what stood in the way of one that was not taken.
     */
    private View configuration(Sight sight, Ask ask) {
        if (!sight.all() || following == null) {
            return new View(
                    "Configuration",
                    sight.all() ? Map.of("in", "the setup itself, read at the start") : Map.of(),
                    List.of(),
                    List.of());
        }
        Following.Standing s = following.standing();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("version", s.version());
        figures.put("in force since", s.since().toString());
        figures.put("last refused", s.refusedAt() == null ? "none" : s.refusedAt().toString());
        List<Table> tables = new ArrayList<>();
        tables.add(lines("refused, and why", s.refused(), Ask.FIRST));
        tables.add(lines("what the refused version would change", s.candidate(), Ask.FIRST));
        tables.add(lines("changed by this version", s.applied(), Ask.FIRST));
        tables.add(lines("in force", s.fleet().show().lines().toList(), ask));
        return new View("Configuration", figures, tables, List.of());
    }

    private static Table lines(String name, List<String> lines, Ask ask) {
        List<List<Object>> rows = new ArrayList<>();
        lines.forEach(l -> rows.add(List.of(l)));
        return cut(name, List.of("line"), rows, ask);
    }

    private View setup(Sight sight, Ask ask) {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("initiator", setup.name());
        if (!sight.all()) {
            return new View("This initiator", figures, List.of(), List.of());
        }
        Provisioning given = setup.deployment().provisioning();
        figures.put("began", began.toString());
        figures.put("number", setup.number());
        figures.put("listens at", setup.listen().toString());
        figures.put("discovery", setup.discovery().toString());
        figures.put("initiators", given.initiators());
        figures.put("list must be asked", given.listMustBeAsked());
        figures.put("allowances", given.allowances().toString());
        figures.put("bounds", given.bounds().toString());
        figures.put("transport", setup.transport().toString());
        figures.put("room", setup.room().toString());
        List<List<Object>> plans = new ArrayList<>();
        given.plans()
                .forEach(
                        p ->
                                plans.add(
                                        List.of(
                                                p.name(),
                                                p.reserve(),
                                                p.weight(),
                                                p.limitRate(),
                                                p.limitDepth(),
                                                p.limitSlack())));
        return new View(
                "This initiator",
                figures,
                List.of(
                        cut(
                                "plans",
                                List.of(
                                        "plan",
                                        "reserve",
                                        "weight",
                                        "limit rate",
                                        "limit depth",
                                        "limit slack"),
                                plans,
                                Ask.FIRST)),
                List.of());
    }

    // ---- Charts: from the rows of whole seconds ----

    private Chart service(Sight sight) {
        return chart(
                "answered in time",
                "%",
                "category:",
                s ->
                        s.asked() == 0
                                ? null
                                : Math.min(
                                        100.0,
                                        100.0
                                                * s.inTime()
                                                / Math.max(
                                                        s.asked(),
                                                        s.answered()
                                                                + s.rejected()
                                                                + s.brokenOff())),
                sight);
    }

    private Chart lag() {
        return chart(
                "answers of targets, p50",
                "ms",
                "target:",
                s -> s.answered() == 0 ? null : s.p50() / 1e3,
                null);
    }

    private Chart asked(Sight sight) {
        return chart("asked", "/s", "volume:", s -> (double) s.asked(), sight);
    }

    private interface Point {
        Double of(Second second);
    }

    /** The twelve series with most in them. @param sight null where the series are of nobody's */
    private Chart chart(String name, String unit, String kind, Point point, Sight sight) {
        List<Accounts.Row> rows = loop.rows(CHARTED);
        Map<String, Integer> sums = new LinkedHashMap<>();
        for (Accounts.Row row : rows) {
            row.series()
                    .forEach(
                            (key, s) -> {
                                String of =
                                        key.startsWith(kind) ? key.substring(kind.length()) : null;
                                boolean shown =
                                        of != null
                                                && (sight == null
                                                        || !kind.equals("volume:")
                                                        || sight.all()
                                                        || !of.equals("others") && sight.sees(of));
                                if (shown) {
                                    sums.merge(of, s.asked() + s.answered(), Integer::sum);
                                }
                            });
        }
        List<String> most =
                sums.entrySet().stream()
                        .sorted(
                                Map.Entry.<String, Integer>comparingByValue()
                                        .reversed()
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .limit(12)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        List<Line> lines = new ArrayList<>();
        for (String of : most) {
            List<Double> points = new ArrayList<>();
            for (Accounts.Row row : rows) {
                Second s = row.series().get(kind + of);
                points.add(s == null ? null : point.of(s));
            }
            lines.add(new Line(of, points));
        }
        return new Chart(name, unit, lines);
    }

    // ---- Words ----

    private static int from(int total, Ask ask) {
        return (int) Math.min(total, (long) ask.page() * ROWS);
    }

    private static int to(int total, Ask ask) {
        return Math.min(total, from(total, ask) + ROWS);
    }

    private static Table cut(String name, List<String> columns, List<List<Object>> rows, Ask ask) {
        return new Table(
                name,
                columns,
                List.copyOf(rows.subList(from(rows.size(), ask), to(rows.size(), ask))),
                rows.size(),
                ask.page());
    }

    private static String words(Action action, Sight sight) {
        if (action instanceof Action.Relay a) {
            return sight.all() ? "relay " + a.id() + " to " + a.target() : "relay";
        } else if (action instanceof Action.Reject a) {
            return (sight.all() ? "reject " + a.id() : "reject")
                    + (a.retryIn() > 0 ? ", back in " + micros(a.retryIn()) : "");
        } else if (action instanceof Action.BreakOff a) {
            return sight.all() ? "break off " + a.id() : "break off";
        } else if (action instanceof Action.Cancel a) {
            return sight.all() ? "cancel relay " + a.relay() + " of " + a.id() : "cancel";
        }
        return action instanceof Action.Probe a ? "probe " + a.target() : String.valueOf(action);
    }

    private static String words(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String percent(double part) {
        return String.format(Locale.ROOT, "%.1f%%", 100 * part);
    }

    private static String micros(long micros) {
        return micros < 1_000
                ? micros + " us"
                : String.format(Locale.ROOT, "%.1f ms", micros / 1e3);
    }

    private static double round(double figure) {
        return Math.round(figure * 100) / 100.0;
    }

    private static String age(long now, long launched) {
        return launched == 0 ? "long" : (now - launched) / 1_000_000 + " s";
    }

    private String clock(long micros) {
        return began.plusMillis((micros - beganMicros) / 1_000).toString();
    }
}
