package milletyoke.gateway.console;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import milletyoke.gateway.reload.ConfigWatcher;

/** Shows the configuration in force, what it changed, and why a later version was rejected. */
final class ConfigurationPage implements Page {
    private static final String TITLE = "Configuration";

    private final ConfigWatcher configWatcher;

    /**
     * Creates the page.
     *
     * @param configWatcher null where the setup file holds the deployment
     */
    ConfigurationPage(ConfigWatcher configWatcher) {
        this.configWatcher = configWatcher;
    }

    @Override
    public PageView view(AccessScope scope, PageQuery query) {
        if (!scope.canSeeAll()) {
            return new PageView(TITLE, Map.of(), List.of(), List.of());
        }
        if (configWatcher == null) {
            Map<String, Object> source = Map.of("in", "the setup itself, read at the start");
            return new PageView(TITLE, source, List.of(), List.of());
        }
        ConfigWatcher.Status status = configWatcher.status();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("version", status.version());
        figures.put("in force since", status.since().toString());
        figures.put(
                "last refused",
                status.rejectedAt() == null ? "none" : status.rejectedAt().toString());
        List<String> inForce = status.fleet().show().lines().toList();
        List<PageView.Table> tables = new ArrayList<>();
        tables.add(linesTable("refused, and why", status.rejectionReasons(), PageQuery.FIRST));
        tables.add(
                linesTable(
                        "what the refused version would change",
                        status.rejectedChanges(),
                        PageQuery.FIRST));
        tables.add(linesTable("changed by this version", status.applied(), PageQuery.FIRST));
        tables.add(linesTable("in force", inForce, query));
        return new PageView(TITLE, figures, tables, List.of());
    }

    private static PageView.Table linesTable(String name, List<String> lines, PageQuery query) {
        List<List<Object>> rows = new ArrayList<>();
        lines.forEach(line -> rows.add(List.of(line)));
        return PageView.Table.part(name, List.of("line"), rows, query);
    }
}
