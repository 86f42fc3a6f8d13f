package milletyoke.gateway.console;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.loop.Counter;
import milletyoke.gateway.loop.Counters;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.status.StatusSnapshot;
import milletyoke.gateway.status.StatusSnapshot.RequestTally;
import milletyoke.lifecycle.LifecycleState;

/** Shows the state of the initiator, and why requests wait or are rejected. */
final class OverviewPage implements Page {
    private static final String TITLE = "Overview";
    private static final int MAX_TARGETS_NAMED = 20;
    private static final int MAX_VOLUMES_NAMED = 10;

    private final InitiatorConfig config;
    private final EventLoop loop;
    private final Counters counters;
    private final Charts charts;

    OverviewPage(InitiatorConfig config, EventLoop loop, Counters counters, Charts charts) {
        this.config = config;
        this.loop = loop;
        this.counters = counters;
        this.charts = charts;
    }

    @Override
    public PageView view(AccessScope scope, PageQuery query) {
        StatusSnapshot snapshot = loop.snapshot();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("initiator", snapshot.name());
        figures.put("condition", stateName(snapshot.lifecycleState(), scope));
        figures.put("told", stateDescription(snapshot.lifecycleState(), scope));
        if (!scope.canSeeAll()) {
            ValueFormat.addTally(figures, visibleTally(snapshot, scope));
            return new PageView(TITLE, figures, List.of(), List.of());
        }
        addFigures(figures, snapshot);
        List<List<Object>> causes = causes(snapshot);
        List<List<Object>> categories = new ArrayList<>();
        snapshot.categories()
                .forEach((name, tally) -> categories.add(ValueFormat.tallyRow(name, tally)));
        PageView.Table causesTable =
                new PageView.Table(
                        "why accesses wait or are rejected",
                        List.of("what", "why", "waiting"),
                        causes,
                        causes.size(),
                        0);
        PageView.Table categoriesTable =
                new PageView.Table(
                        "service by category",
                        ValueFormat.TALLY_COLUMNS,
                        categories,
                        categories.size(),
                        0);
        return new PageView(
                TITLE,
                figures,
                List.of(causesTable, categoriesTable),
                List.of(charts.onTimeByCategory(scope), charts.latencyByTarget()));
    }

    private void addFigures(Map<String, Object> figures, StatusSnapshot snapshot) {
        figures.put(
                "places taken",
                snapshot.admittedRequests() + " of " + config.capacity().maxRequests());
        figures.put("room used", ValueFormat.percent(snapshot.utilization()));
        figures.put("relays out", snapshot.attemptsInFlight());
        figures.put("targets", snapshot.targets().size());
        figures.put("not on", targetsNotInService(snapshot));
        figures.put("list version", snapshot.endpointListRevision());
        figures.put("turn p50", ValueFormat.duration(snapshot.loopP50Micros()));
        figures.put("turn p99", ValueFormat.duration(snapshot.loopP99Micros()));
        figures.put("pictures cost", ValueFormat.percent(snapshot.snapshotCostShare()));
        figures.put("late answers, of late", ValueFormat.percent(snapshot.lateShare()));
        figures.put(
                "further relays that succeed", ValueFormat.percent(snapshot.retrySuccessShare()));
    }

    private static String targetsNotInService(StatusSnapshot snapshot) {
        String targets =
                snapshot.targets().stream()
                        .filter(target -> !target.state().equals("on"))
                        .map(target -> target.view().id() + " " + target.state())
                        .sorted()
                        .limit(MAX_TARGETS_NAMED)
                        .collect(Collectors.joining(", "));
        return targets.isEmpty() ? "none" : targets;
    }

    /** Returns the state to show; a tenant must not learn from it about the load of others. */
    private static String stateName(LifecycleState state, AccessScope scope) {
        if (scope.canSeeAll()) {
            return state.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
        return state.admits() ? "in service" : "not taking";
    }

    private static String stateDescription(LifecycleState state, AccessScope scope) {
        if (scope.canSeeAll()) {
            return state.description();
        }
        return state.admits() ? "admits requests" : "admits no new requests";
    }

    private static RequestTally visibleTally(StatusSnapshot snapshot, AccessScope scope) {
        long requests = 0;
        long answered = 0;
        long onTime = 0;
        long rejected = 0;
        long failed = 0;
        for (StatusSnapshot.Volume volume : snapshot.volumes().values()) {
            if (scope.canSee(volume.name())) {
                RequestTally tally = volume.tally();
                requests += tally.requests();
                answered += tally.answered();
                onTime += tally.onTime();
                rejected += tally.rejected();
                failed += tally.failed();
            }
        }
        return new RequestTally(requests, answered, onTime, rejected, failed);
    }

    /** Returns why requests wait or are rejected, as far as visible here; most severe first. */
    private List<List<Object>> causes(StatusSnapshot snapshot) {
        List<List<Object>> rows = new ArrayList<>();
        LifecycleState state = snapshot.lifecycleState();
        if (!state.admits() || state == LifecycleState.SATURATED) {
            rows.add(List.of("this initiator", state.description(), 0));
        }
        addShardsAndTargets(rows, snapshot);
        addVolumesAtTheirLimit(rows, snapshot);
        addRejections(
                rows,
                Counter.REJECTED_CAPACITY,
                "exceeded the admission limit of the initiator, a connection or a volume");
        addRejections(
                rows, Counter.REJECTED_STATE, "arrived while the initiator admitted no requests");
        addRejections(
                rows,
                Counter.INVALID,
                "named an unknown category or plan, or had a value out of range");
        return rows;
    }

    private static void addShardsAndTargets(List<List<Object>> rows, StatusSnapshot snapshot) {
        Map<Integer, Integer> pendingByShard = new LinkedHashMap<>();
        snapshot.shards().forEach(shard -> pendingByShard.put(shard.shard(), shard.pending()));
        snapshot.shards().stream()
                .filter(shard -> shard.target() == null && shard.pending() > 0)
                .forEach(
                        shard ->
                                rows.add(
                                        List.of(
                                                "shard " + shard.shard(),
                                                "no target in service serves this shard",
                                                shard.pending())));
        for (StatusSnapshot.Target target : snapshot.targets()) {
            String cause = causeText(target.state());
            if (cause != null) {
                int pending = pendingByShard.getOrDefault(target.view().shard(), 0);
                rows.add(List.of(target.view().id(), cause, pending));
            }
        }
    }

    private static String causeText(String targetState) {
        return switch (targetState) {
            case "silent" -> "silent: does not respond; only single trial attempts are sent";
            case "cold" -> "cold: held to its slow start limit";
            case "resting" ->
                    "resting: backing off after late responses; only what fits its limit is sent";
            case "draining", "drained here" -> "accepts no new requests: " + targetState;
            default -> null;
        };
    }

    private static void addVolumesAtTheirLimit(List<List<Object>> rows, StatusSnapshot snapshot) {
        snapshot.volumes().values().stream()
                .filter(OverviewPage::isAtItsLimit)
                .sorted(
                        Comparator.comparing(
                                        (StatusSnapshot.Volume volume) -> -volume.view().pending())
                                .thenComparing(StatusSnapshot.Volume::name))
                .limit(MAX_VOLUMES_NAMED)
                .forEach(
                        volume ->
                                rows.add(
                                        List.of(
                                                volume.name(),
                                                "at the limit of its plan " + volume.plan(),
                                                volume.view().pending())));
    }

    private static boolean isAtItsLimit(StatusSnapshot.Volume volume) {
        double limitUnits = volume.view().limitUnits();
        return limitUnits >= 0 && limitUnits < 1 && volume.view().pending() > 0;
    }

    private void addRejections(List<List<Object>> rows, Counter counter, String cause) {
        if (counters.get(counter) > 0) {
            rows.add(List.of(counters.get(counter) + " requests since the start", cause, 0));
        }
    }
}
