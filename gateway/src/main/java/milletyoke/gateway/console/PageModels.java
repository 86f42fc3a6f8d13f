package milletyoke.gateway.console;

import java.time.Instant;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.loop.Counters;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.reload.ConfigWatcher;

/**
 * Holds all pages by name. HTML, JSON and stream of a page are rendered from its {@link PageView}
 * alone, so that content hidden from tenants is filtered in one place. A page that is added here is
 * served, streamed and covered by the crawling test.
 */
final class PageModels {
    static final String OVERVIEW = "overview";
    static final String TARGETS = "targets";
    static final String VOLUMES = "volumes";
    static final String EVENTS = "events";

    private final Map<String, Page> pages;

    /**
     * Creates the pages of one initiator.
     *
     * @param configWatcher null where the setup file holds the deployment
     * @param nowMicros the current time on the monotonic clock
     */
    PageModels(
            InitiatorConfig config,
            EventLoop loop,
            AuditLog auditLog,
            Counters counters,
            ConfigWatcher configWatcher,
            long nowMicros) {
        Instant startedAt = Instant.now();
        Charts charts = new Charts(loop);
        Map<String, Page> all = new LinkedHashMap<>();
        all.put(OVERVIEW, new OverviewPage(config, loop, counters, charts));
        all.put(TARGETS, new TargetsPage(loop, charts));
        all.put(VOLUMES, new VolumesPage(loop, charts));
        all.put("categories", new CategoriesPage(config, loop, charts));
        all.put(EVENTS, new EventsPage(loop, auditLog, startedAt, nowMicros));
        all.put("configuration", new ConfigurationPage(configWatcher));
        all.put("setup", new SetupPage(config, startedAt));
        pages = Collections.unmodifiableMap(all);
    }

    /** Returns the names of all pages in display order. */
    Set<String> names() {
        return pages.keySet();
    }

    /** Returns the content of a page, which must exist. */
    PageView view(String page, AccessScope scope, PageQuery query) {
        return pages.get(page).view(scope, query);
    }
}
