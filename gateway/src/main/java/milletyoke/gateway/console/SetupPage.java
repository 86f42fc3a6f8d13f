package milletyoke.gateway.console;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.scheduler.api.SchedulerSettings;

/** Shows the settings that the initiator was started with; a tenant sees only its name. */
final class SetupPage implements Page {
    private static final String TITLE = "This initiator";
    private static final List<String> PLAN_COLUMNS =
            List.of("plan", "reserve", "weight", "limit rate", "limit depth", "limit slack");

    private final InitiatorConfig config;
    private final Instant startedAt;

    SetupPage(InitiatorConfig config, Instant startedAt) {
        this.config = config;
        this.startedAt = startedAt;
    }

    @Override
    public PageView view(AccessScope scope, PageQuery query) {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("initiator", config.name());
        if (!scope.canSeeAll()) {
            return new PageView(TITLE, figures, List.of(), List.of());
        }
        SchedulerSettings scheduler = config.deployment().scheduler();
        figures.put("began", startedAt.toString());
        figures.put("number", config.number());
        figures.put("listens at", config.listen().toString());
        figures.put("discovery", config.discovery().toString());
        figures.put("initiators", scheduler.initiatorCount());
        figures.put("list must be asked", scheduler.mustWatchEndpoints());
        figures.put("allowances", SettingsText.allowances(scheduler.capabilities()));
        figures.put("bounds", SettingsText.bounds(scheduler.limits()));
        figures.put("transport", SettingsText.transport(config.transport()));
        figures.put("room", SettingsText.room(config.capacity()));
        PageView.Table plans = PageView.Table.firstPart("plans", PLAN_COLUMNS, planRows(scheduler));
        return new PageView(TITLE, figures, List.of(plans), List.of());
    }

    private static List<List<Object>> planRows(SchedulerSettings scheduler) {
        List<List<Object>> rows = new ArrayList<>();
        for (SchedulerSettings.ServicePlan plan : scheduler.plans()) {
            rows.add(
                    List.of(
                            plan.name(),
                            plan.reservationRate(),
                            plan.weight(),
                            plan.limitRate(),
                            plan.limitBurst(),
                            plan.limitSlack()));
        }
        return rows;
    }
}
