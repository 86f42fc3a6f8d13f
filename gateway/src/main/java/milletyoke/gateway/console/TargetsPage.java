package milletyoke.gateway.console;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.status.StatusSnapshot;
import milletyoke.scheduler.SchedulerView;

/**
 * Shows all targets and shards; a tenant sees only target names and whether they are in service.
 */
final class TargetsPage implements Page {
    private static final String TITLE = "Targets";
    private static final List<String> TARGET_COLUMNS =
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
                    "succeeded");
    private static final List<String> SHARD_COLUMNS =
            List.of("shard", "held by", "waiting here", "of volumes");

    private final EventLoop loop;
    private final Charts charts;

    TargetsPage(EventLoop loop, Charts charts) {
        this.loop = loop;
        this.charts = charts;
    }

    @Override
    public PageView view(AccessScope scope, PageQuery query) {
        StatusSnapshot snapshot = loop.snapshot();
        List<List<Object>> targets = new ArrayList<>();
        for (StatusSnapshot.Target target : snapshot.targets()) {
            if (target.view().id().contains(query.find())) {
                targets.add(
                        scope.canSeeAll() ? row(target, snapshot.atMicros()) : tenantRow(target));
            }
        }
        if (!scope.canSeeAll()) {
            PageView.Table table =
                    PageView.Table.part("targets", List.of("target", "state"), targets, query);
            return new PageView(TITLE, Map.of(), List.of(table), List.of());
        }
        return new PageView(
                TITLE,
                Map.of("list version", snapshot.endpointListRevision()),
                List.of(
                        PageView.Table.part("targets", TARGET_COLUMNS, targets, query),
                        PageView.Table.firstPart("shards", SHARD_COLUMNS, shards(snapshot))),
                List.of(charts.latencyByTarget()));
    }

    private static List<Object> tenantRow(StatusSnapshot.Target target) {
        boolean isInService = target.view().usable() && !target.isDrainedHere();
        return List.of(target.view().id(), isInService ? "on" : "not in service");
    }

    private static List<Object> row(StatusSnapshot.Target target, long nowMicros) {
        SchedulerView.TargetView view = target.view();
        String queueDelay =
                view.hasLoadReport() ? ValueFormat.duration((long) view.queueDelayMicros()) : "-";
        return List.of(
                view.id(),
                target.state(),
                view.shard(),
                view.zone(),
                view.inFlight(),
                ValueFormat.round(view.concurrencyLimit()),
                ValueFormat.duration((long) view.latencyMicros()),
                queueDelay,
                ValueFormat.age(nowMicros, view.startedAtMicros()),
                target.tally().requests(),
                ValueFormat.percent(target.tally().onTimeShare()));
    }

    private static List<List<Object>> shards(StatusSnapshot snapshot) {
        List<List<Object>> rows = new ArrayList<>();
        snapshot.shards().stream()
                .sorted(Comparator.comparingInt(SchedulerView.ShardView::shard))
                .forEach(
                        shard ->
                                rows.add(
                                        List.of(
                                                shard.shard(),
                                                shard.target() == null ? "nobody" : shard.target(),
                                                shard.pending(),
                                                shard.volumes())));
        return rows;
    }
}
