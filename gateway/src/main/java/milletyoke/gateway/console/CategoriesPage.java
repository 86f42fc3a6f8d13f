package milletyoke.gateway.console;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.status.StatusSnapshot;
import milletyoke.gateway.status.StatusSnapshot.RequestTally;
import milletyoke.scheduler.api.Keyword;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;

/** Shows request classes (called categories in the console) and plans with their tallies. */
final class CategoriesPage implements Page {
    private static final List<String> TENANT_COLUMNS =
            List.of("category", "repeats", "agreed time");
    private static final List<String> COLUMNS =
            List.of(
                    "category",
                    "repeats",
                    "agreed time",
                    "importance",
                    "asked",
                    "in time",
                    "rejected",
                    "broken off");

    private final InitiatorConfig config;
    private final EventLoop loop;
    private final Charts charts;

    CategoriesPage(InitiatorConfig config, EventLoop loop, Charts charts) {
        this.config = config;
        this.loop = loop;
        this.charts = charts;
    }

    @Override
    public PageView view(AccessScope scope, PageQuery query) {
        StatusSnapshot snapshot = loop.snapshot();
        List<List<Object>> rows = new ArrayList<>();
        for (RequestClass requestClass : config.deployment().scheduler().requestClasses()) {
            rows.add(
                    scope.canSeeAll()
                            ? row(requestClass, snapshot.categories().get(requestClass.name()))
                            : tenantRow(requestClass));
        }
        List<PageView.Table> tables = new ArrayList<>();
        List<String> columns = scope.canSeeAll() ? COLUMNS : TENANT_COLUMNS;
        tables.add(PageView.Table.firstPart("categories", columns, rows));
        if (scope.canSeeAll()) {
            List<List<Object>> plans = new ArrayList<>();
            snapshot.plans().forEach((name, tally) -> plans.add(ValueFormat.tallyRow(name, tally)));
            tables.add(PageView.Table.firstPart("plans", ValueFormat.TALLY_COLUMNS, plans));
        }
        List<PageView.Chart> visibleCharts =
                scope.canSeeAll() ? List.of(charts.onTimeByCategory(scope)) : List.of();
        return new PageView("Service by category", Map.of(), tables, visibleCharts);
    }

    private static List<Object> tenantRow(RequestClass requestClass) {
        return List.of(
                requestClass.name(),
                Keyword.of(requestClass.idempotency()),
                ValueFormat.duration(requestClass.latencyObjectiveMicros()));
    }

    private static List<Object> row(RequestClass requestClass, RequestTally tally) {
        return List.of(
                requestClass.name(),
                Keyword.of(requestClass.idempotency()),
                ValueFormat.duration(requestClass.latencyObjectiveMicros()),
                requestClass.priorityWeight(),
                tally.requests(),
                ValueFormat.percent(tally.onTimeShare()),
                tally.rejected(),
                tally.failed());
    }
}
