package milletyoke.gateway.console;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.status.StatusSnapshot;
import milletyoke.gateway.status.StatusSnapshot.RequestTally;

/** Shows the volumes that a viewer may see, those with the most requests first. */
final class VolumesPage implements Page {
    private static final List<String> COLUMNS =
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
                    "reserve owed");
    private static final Comparator<StatusSnapshot.Volume> MOST_REQUESTS_FIRST =
            Comparator.comparingLong((StatusSnapshot.Volume volume) -> -volume.tally().requests())
                    .thenComparing(StatusSnapshot.Volume::name);

    private final EventLoop loop;
    private final Charts charts;

    VolumesPage(EventLoop loop, Charts charts) {
        this.loop = loop;
        this.charts = charts;
    }

    @Override
    public PageView view(AccessScope scope, PageQuery query) {
        StatusSnapshot snapshot = loop.snapshot();
        List<StatusSnapshot.Volume> visible =
                snapshot.volumes().values().stream()
                        .filter(volume -> scope.canSee(volume.name()))
                        .filter(volume -> volume.name().contains(query.find()))
                        .sorted(MOST_REQUESTS_FIRST)
                        .toList();
        List<List<Object>> rows = new ArrayList<>();
        for (StatusSnapshot.Volume volume : PageView.part(visible, query)) {
            rows.add(row(volume));
        }
        Map<String, Object> figures =
                scope.canSeeAll()
                        ? Map.of("not counted in yet", snapshot.unreportedVolumes())
                        : Map.of();
        PageView.Table table =
                new PageView.Table("volumes", COLUMNS, rows, visible.size(), query.page());
        return new PageView(
                "Volumes", figures, List.of(table), List.of(charts.requestsByVolume(scope)));
    }

    private static List<Object> row(StatusSnapshot.Volume volume) {
        RequestTally tally = volume.tally();
        double limitUnits = volume.view().limitUnits();
        Object limitLeft = limitUnits < 0 ? "no limit" : ValueFormat.round(limitUnits);
        return List.of(
                volume.name(),
                volume.plan(),
                volume.pendingRequests(),
                volume.view().pending(),
                tally.requests(),
                tally.answered(),
                ValueFormat.percent(tally.onTimeShare()),
                tally.rejected(),
                tally.failed(),
                limitLeft,
                ValueFormat.round(volume.view().reservationUnits()));
    }
}
