package milletyoke.gateway.console;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.status.StatusSnapshot;
import milletyoke.scheduler.api.Action;

/** Shows events, the scheduler's latest decisions, and operators' actions. */
final class EventsPage implements Page {
    private static final long MICROS_PER_MILLI = 1_000;

    private final EventLoop loop;
    private final AuditLog auditLog;
    private final Instant startedAt;
    private final long startedAtMicros;

    /**
     * Creates the page.
     *
     * @param startedAt wall-clock time of the start, the reference for the times shown
     * @param startedAtMicros the same point in time on the monotonic clock
     */
    EventsPage(EventLoop loop, AuditLog auditLog, Instant startedAt, long startedAtMicros) {
        this.loop = loop;
        this.auditLog = auditLog;
        this.startedAt = startedAt;
        this.startedAtMicros = startedAtMicros;
    }

    @Override
    public PageView view(AccessScope scope, PageQuery query) {
        StatusSnapshot snapshot = loop.snapshot();
        List<PageView.Table> tables = new ArrayList<>();
        tables.add(events(snapshot, scope, query));
        tables.add(decisions(snapshot, scope));
        if (scope.canSeeAll()) {
            tables.add(operatorActions());
        }
        return new PageView("Events", Map.of(), tables, List.of());
    }

    /** Returns whether an entry is visible; entries without a volume are not visible to tenants. */
    private static boolean isVisible(String volume, AccessScope scope) {
        return volume == null ? scope.canSeeAll() : scope.canSee(volume);
    }

    private PageView.Table events(StatusSnapshot snapshot, AccessScope scope, PageQuery query) {
        List<StatusSnapshot.OperationalEvent> newestFirst = new ArrayList<>();
        for (int i = snapshot.events().size() - 1; i >= 0; i--) {
            StatusSnapshot.OperationalEvent event = snapshot.events().get(i);
            if (isVisible(event.volume(), scope) && event.description().contains(query.find())) {
                newestFirst.add(event);
            }
        }
        List<List<Object>> rows = new ArrayList<>();
        for (StatusSnapshot.OperationalEvent event : PageView.part(newestFirst, query)) {
            rows.add(List.of(timeOfDay(event.atMicros()), event.kind(), event.description()));
        }
        List<String> columns = List.of("at", "kind", "what");
        return new PageView.Table("events", columns, rows, newestFirst.size(), query.page());
    }

    private PageView.Table decisions(StatusSnapshot snapshot, AccessScope scope) {
        List<List<Object>> rows = new ArrayList<>();
        for (StatusSnapshot.DecisionRecord decision : snapshot.decisions()) {
            if (isVisible(decision.volume(), scope)) {
                rows.add(
                        List.of(
                                timeOfDay(decision.atMicros()),
                                decision.volume() == null ? "-" : decision.volume(),
                                describe(decision.action(), scope.canSeeAll())));
            }
        }
        List<String> columns = List.of("at", "volume", "decided");
        return PageView.Table.firstPart("latest decisions", columns, rows);
    }

    /**
     * Describes an action in the terms of the console's JSON, without ids and targets for tenants.
     */
    private static String describe(Action action, boolean canSeeAll) {
        if (action instanceof Action.SendAttempt attempt) {
            return canSeeAll ? "relay " + attempt.id() + " to " + attempt.target() : "relay";
        }
        if (action instanceof Action.Reject reject) {
            String retry =
                    reject.retryAfterMicros() > 0
                            ? ", back in " + ValueFormat.duration(reject.retryAfterMicros())
                            : "";
            return (canSeeAll ? "reject " + reject.id() : "reject") + retry;
        }
        if (action instanceof Action.Fail fail) {
            return canSeeAll ? "break off " + fail.id() : "break off";
        }
        if (action instanceof Action.CancelAttempt cancel) {
            return canSeeAll
                    ? "cancel relay " + cancel.attemptNumber() + " of " + cancel.id()
                    : "cancel";
        }
        if (action instanceof Action.SendProbe probe) {
            return "probe " + probe.target();
        }
        if (action instanceof Action.ScheduleWakeUp wakeUp) {
            return "Wake[in=" + wakeUp.delayMicros() + "]";
        }
        return action instanceof Action.WatchEndpoints ? "FollowList[]" : String.valueOf(action);
    }

    private PageView.Table operatorActions() {
        List<List<Object>> rows = new ArrayList<>();
        for (AuditLog.Entry entry : auditLog.latest()) {
            rows.add(
                    0,
                    List.of(
                            entry.at().toString(),
                            entry.operator(),
                            entry.action(),
                            entry.subject()));
        }
        List<String> columns = List.of("at", "who", "what", "whom");
        return PageView.Table.firstPart("operators' actions", columns, rows);
    }

    private String timeOfDay(long micros) {
        return startedAt.plusMillis((micros - startedAtMicros) / MICROS_PER_MILLI).toString();
    }
}
