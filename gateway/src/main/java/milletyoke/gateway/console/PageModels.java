package milletyoke.gateway.console;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.loop.Counter;
import milletyoke.gateway.loop.Counters;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.reload.ConfigWatcher;
import milletyoke.gateway.status.ServiceStatistics;
import milletyoke.gateway.status.StatusSnapshot;
import milletyoke.gateway.status.StatusSnapshot.RequestTally;
import milletyoke.gateway.status.StatusSnapshot.SecondSummary;
import milletyoke.lifecycle.LifecycleState;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Keyword;
import milletyoke.scheduler.api.SchedulerSettings;

/**
 * What each page shows, as data: the page, its JSON and its stream are all made of this and of
 * nothing else, so what a tenant may not see is left out at one place. A page that is added to
 * {@link #PAGES} is served, streamed and crawled by the tests without being named anywhere else.
 */
final class PageModels {
    /** One page. */
    interface Page {
        View see(PageModels views, AccessScope sight, Ask ask);
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

    private final InitiatorConfig setup;
    private final EventLoop loop;
    private final AuditLog journal;
    private final Counters counts;

    /** Null where the deployment stands in the setup. */
    private final ConfigWatcher following;

    private final Instant began = Instant.now();
    private final long beganMicros;

    PageModels(
            InitiatorConfig setup,
            EventLoop loop,
            AuditLog journal,
            Counters counts,
            ConfigWatcher following,
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
        all.put("overview", PageModels::overview);
        all.put("targets", PageModels::targets);
        all.put("volumes", PageModels::volumes);
        all.put("categories", PageModels::categories);
        all.put("events", PageModels::events);
        all.put("configuration", PageModels::configuration);
        all.put("setup", PageModels::setup);
        return java.util.Collections.unmodifiableMap(all);
    }

    View of(String page, AccessScope sight, Ask ask) {
        return PAGES.get(page).see(this, sight, ask);
    }

    // ---- The pages ----

    private View overview(AccessScope sight, Ask ask) {
        StatusSnapshot p = loop.snapshot();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("initiator", p.name());
        figures.put("condition", word(p.lifecycleState(), sight));
        figures.put("told", tells(p.lifecycleState(), sight));
        if (!sight.all()) {
            RequestTally own = own(p, sight);
            tally(figures, own);
            return new View("Overview", figures, List.of(), List.of());
        }
        figures.put("places taken", p.admittedRequests() + " of " + setup.capacity().maxRequests());
        figures.put("room used", percent(p.utilization()));
        figures.put("relays out", p.attemptsInFlight());
        figures.put("targets", p.targets().size());
        figures.put(
                "not on",
                p.targets().stream()
                        .filter(t -> !t.state().equals("on"))
                        .map(t -> t.view().id() + " " + t.state())
                        .sorted()
                        .limit(20)
                        .reduce((a, b) -> a + ", " + b)
                        .orElse("none"));
        figures.put("list version", p.endpointListRevision());
        figures.put("turn p50", micros(p.loopP50Micros()));
        figures.put("turn p99", micros(p.loopP99Micros()));
        figures.put("pictures cost", percent(p.snapshotCostShare()));
        figures.put("late answers, of late", percent(p.lateShare()));
        figures.put("further relays that succeed", percent(p.retrySuccessShare()));
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

    private static String word(LifecycleState c, AccessScope sight) {
        return sight.all()
                ? c.name().toLowerCase(Locale.ROOT).replace('_', ' ')
                : c.admits() ? "in service" : "not taking";
    }

    /** A tenant must not read others' load from the condition. */
    private static String tells(LifecycleState c, AccessScope sight) {
        return sight.all() ? c.tells() : c.admits() ? "takes accesses" : "takes nothing new";
    }

    private static RequestTally own(StatusSnapshot p, AccessScope sight) {
        long asked = 0, answered = 0, inTime = 0, rejected = 0, brokenOff = 0;
        for (StatusSnapshot.Volume v : p.volumes().values()) {
            if (sight.sees(v.name())) {
                RequestTally t = v.tally();
                asked += t.requests();
                answered += t.answered();
                inTime += t.onTime();
                rejected += t.rejected();
                brokenOff += t.failed();
            }
        }
        return new RequestTally(asked, answered, inTime, rejected, brokenOff);
    }

    private static void tally(Map<String, Object> figures, RequestTally t) {
        figures.put("asked", t.requests());
        figures.put("answered", t.answered());
        figures.put("in time", percent(t.onTimeShare()));
        figures.put("rejected", t.rejected());
        figures.put("broken off", t.failed());
    }

    /** What holds accesses up, as far as one initiator can know it: the gravest first. */
    private List<List<Object>> why(StatusSnapshot p) {
        List<List<Object>> rows = new ArrayList<>();
        if (!p.lifecycleState().admits() || p.lifecycleState() == LifecycleState.SATURATED) {
            rows.add(List.of("this initiator", p.lifecycleState().tells(), 0));
        }
        Map<Integer, Integer> waiting = new LinkedHashMap<>();
        p.shards().forEach(n -> waiting.put(n.shard(), n.pending()));
        p.shards().stream()
                .filter(n -> n.target() == null && n.pending() > 0)
                .forEach(
                        n ->
                                rows.add(
                                        List.of(
                                                "shard " + n.shard(),
                                                "no target in service holds it",
                                                n.pending())));
        for (StatusSnapshot.Target t : p.targets()) {
            String cause = cause(t.state());
            if (cause != null) {
                rows.add(List.of(t.view().id(), cause, waiting.getOrDefault(t.view().shard(), 0)));
            }
        }
        p.volumes().values().stream()
                .filter(
                        v ->
                                v.view().limitUnits() >= 0
                                        && v.view().limitUnits() < 1
                                        && v.view().pending() > 0)
                .sorted(
                        Comparator.comparing((StatusSnapshot.Volume v) -> -v.view().pending())
                                .thenComparing(StatusSnapshot.Volume::name))
                .limit(10)
                .forEach(
                        v ->
                                rows.add(
                                        List.of(
                                                v.name(),
                                                "at the limit of its plan " + v.plan(),
                                                v.view().pending())));
        refused(
                rows,
                Counter.REJECTED_CAPACITY,
                "beyond the places of all, of a connection or of a volume");
        refused(rows, Counter.REJECTED_STATE, "came while nothing was taken");
        refused(
                rows,
                Counter.INVALID,
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

    private void refused(List<List<Object>> rows, Counter count, String why) {
        if (counts.get(count) > 0) {
            rows.add(List.of(counts.get(count) + " accesses since the start", why, 0));
        }
    }

    private static final List<String> TALLY =
            List.of("name", "asked", "answered", "in time", "rejected", "broken off");

    private static List<Object> row(String name, RequestTally t) {
        return List.of(
                name,
                t.requests(),
                t.answered(),
                percent(t.onTimeShare()),
                t.rejected(),
                t.failed());
    }

    private View targets(AccessScope sight, Ask ask) {
        StatusSnapshot p = loop.snapshot();
        List<List<Object>> rows = new ArrayList<>();
        if (!sight.all()) {
            for (StatusSnapshot.Target t : p.targets()) {
                if (t.view().id().contains(ask.find())) {
                    rows.add(
                            List.of(
                                    t.view().id(),
                                    t.view().usable() && !t.isDrainedHere()
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
        for (StatusSnapshot.Target t : p.targets()) {
            var l = t.view();
            if (l.id().contains(ask.find())) {
                rows.add(
                        List.of(
                                l.id(),
                                t.state(),
                                l.shard(),
                                l.zone(),
                                l.inFlight(),
                                round(l.concurrencyLimit()),
                                micros((long) l.latencyMicros()),
                                l.hasLoadReport() ? micros((long) l.queueDelayMicros()) : "-",
                                age(p.atMicros(), l.startedAtMicros()),
                                t.tally().requests(),
                                percent(t.tally().onTimeShare())));
            }
        }
        List<List<Object>> nodes = new ArrayList<>();
        p.shards().stream()
                .sorted(Comparator.comparingInt(n -> n.shard()))
                .forEach(
                        n ->
                                nodes.add(
                                        List.of(
                                                n.shard(),
                                                n.target() == null ? "nobody" : n.target(),
                                                n.pending(),
                                                n.volumes())));
        return new View(
                "Targets",
                Map.of("list version", p.endpointListRevision()),
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

    private View volumes(AccessScope sight, Ask ask) {
        StatusSnapshot p = loop.snapshot();
        List<StatusSnapshot.Volume> seen =
                p.volumes().values().stream()
                        .filter(v -> sight.sees(v.name()) && v.name().contains(ask.find()))
                        .sorted(
                                Comparator.comparingLong(
                                                (StatusSnapshot.Volume v) -> -v.tally().requests())
                                        .thenComparing(StatusSnapshot.Volume::name))
                        .toList();
        List<List<Object>> rows = new ArrayList<>();
        for (StatusSnapshot.Volume v : seen.subList(from(seen.size(), ask), to(seen.size(), ask))) {
            RequestTally t = v.tally();
            rows.add(
                    List.of(
                            v.name(),
                            v.plan(),
                            v.pendingRequests(),
                            v.view().pending(),
                            t.requests(),
                            t.answered(),
                            percent(t.onTimeShare()),
                            t.rejected(),
                            t.failed(),
                            v.view().limitUnits() < 0 ? "no limit" : round(v.view().limitUnits()),
                            round(v.view().reservationUnits())));
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
                sight.all() ? Map.of("not counted in yet", p.unreportedVolumes()) : Map.of(),
                List.of(table),
                List.of(asked(sight)));
    }

    private View categories(AccessScope sight, Ask ask) {
        StatusSnapshot p = loop.snapshot();
        SchedulerSettings given = setup.deployment().scheduler();
        List<List<Object>> rows = new ArrayList<>();
        for (SchedulerSettings.RequestClass c : given.requestClasses()) {
            if (sight.all()) {
                RequestTally t = p.categories().get(c.name());
                rows.add(
                        List.of(
                                c.name(),
                                words(c.idempotency()),
                                micros(c.latencyObjectiveMicros()),
                                c.priorityWeight(),
                                t.requests(),
                                percent(t.onTimeShare()),
                                t.rejected(),
                                t.failed()));
            } else {
                rows.add(
                        List.of(
                                c.name(),
                                words(c.idempotency()),
                                micros(c.latencyObjectiveMicros())));
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

    private View events(AccessScope sight, Ask ask) {
        StatusSnapshot p = loop.snapshot();
        List<StatusSnapshot.OperationalEvent> seen = new ArrayList<>();
        for (int i = p.events().size() - 1; i >= 0; i--) {
            StatusSnapshot.OperationalEvent h = p.events().get(i);
            boolean own = h.volume() == null ? sight.all() : sight.sees(h.volume());
            if (own && h.description().contains(ask.find())) {
                seen.add(h);
            }
        }
        List<List<Object>> rows = new ArrayList<>();
        seen.subList(from(seen.size(), ask), to(seen.size(), ask))
                .forEach(h -> rows.add(List.of(clock(h.atMicros()), h.kind(), h.description())));
        List<Table> tables = new ArrayList<>();
        tables.add(
                new Table("events", List.of("at", "kind", "what"), rows, seen.size(), ask.page()));
        List<List<Object>> decided = new ArrayList<>();
        p.decisions().stream()
                .filter(d -> d.volume() == null ? sight.all() : sight.sees(d.volume()))
                .forEach(
                        d ->
                                decided.add(
                                        List.of(
                                                clock(d.atMicros()),
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
    private View configuration(AccessScope sight, Ask ask) {
        if (!sight.all() || following == null) {
            return new View(
                    "Configuration",
                    sight.all() ? Map.of("in", "the setup itself, read at the start") : Map.of(),
                    List.of(),
                    List.of());
        }
        ConfigWatcher.Status s = following.standing();
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

    private View setup(AccessScope sight, Ask ask) {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("initiator", setup.name());
        if (!sight.all()) {
            return new View("This initiator", figures, List.of(), List.of());
        }
        SchedulerSettings given = setup.deployment().scheduler();
        figures.put("began", began.toString());
        figures.put("number", setup.number());
        figures.put("listens at", setup.listen().toString());
        figures.put("discovery", setup.discovery().toString());
        figures.put("initiators", given.initiatorCount());
        figures.put("list must be asked", given.mustWatchEndpoints());
        figures.put("allowances", given.capabilities().toString());
        figures.put("bounds", given.limits().toString());
        figures.put("transport", setup.transport().toString());
        figures.put("room", setup.capacity().toString());
        List<List<Object>> plans = new ArrayList<>();
        given.plans()
                .forEach(
                        p ->
                                plans.add(
                                        List.of(
                                                p.name(),
                                                p.reservationRate(),
                                                p.weight(),
                                                p.limitRate(),
                                                p.limitBurst(),
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

    private Chart service(AccessScope sight) {
        return chart(
                "answered in time",
                "%",
                "category:",
                s ->
                        s.requests() == 0
                                ? null
                                : Math.min(
                                        100.0,
                                        100.0
                                                * s.onTime()
                                                / Math.max(
                                                        s.requests(),
                                                        s.answered() + s.rejected() + s.failed())),
                sight);
    }

    private Chart lag() {
        return chart(
                "answers of targets, p50",
                "ms",
                "target:",
                s -> s.answered() == 0 ? null : s.p50Micros() / 1e3,
                null);
    }

    private Chart asked(AccessScope sight) {
        return chart("asked", "/s", "volume:", s -> (double) s.requests(), sight);
    }

    private interface Point {
        Double of(SecondSummary second);
    }

    /** The twelve series with most in them. @param sight null where the series are of nobody's */
    private Chart chart(String name, String unit, String kind, Point point, AccessScope sight) {
        List<ServiceStatistics.Row> rows = loop.rows(CHARTED);
        Map<String, Integer> sums = new LinkedHashMap<>();
        for (ServiceStatistics.Row row : rows) {
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
                                    sums.merge(of, s.requests() + s.answered(), Integer::sum);
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
            for (ServiceStatistics.Row row : rows) {
                SecondSummary s = row.series().get(kind + of);
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

    private static String words(Action action, AccessScope sight) {
        if (action instanceof Action.SendAttempt a) {
            return sight.all() ? "relay " + a.id() + " to " + a.target() : "relay";
        } else if (action instanceof Action.Reject a) {
            return (sight.all() ? "reject " + a.id() : "reject")
                    + (a.retryAfterMicros() > 0 ? ", back in " + micros(a.retryAfterMicros()) : "");
        } else if (action instanceof Action.Fail a) {
            return sight.all() ? "break off " + a.id() : "break off";
        } else if (action instanceof Action.CancelAttempt a) {
            return sight.all() ? "cancel relay " + a.attemptNumber() + " of " + a.id() : "cancel";
        }
        return action instanceof Action.SendProbe a
                ? "probe " + a.target()
                : String.valueOf(action);
    }

    private static String words(Enum<?> value) {
        return Keyword.of(value);
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
