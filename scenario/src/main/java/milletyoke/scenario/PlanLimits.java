package milletyoke.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import milletyoke.config.Checker;
import milletyoke.config.disk.FileSourceProvider;
import milletyoke.gateway.config.DeploymentSettings;
import milletyoke.gateway.config.FleetConverter;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.reload.ConfigWatcher;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;
import milletyoke.wire.proto.Note;

/**
 * The service plans as they are now. Where a scenario changes their limits, they stand in a fleet
 * file that the initiators watch.
 */
final class PlanLimits {
    private final RunContext context;
    private final Scenario scenario;
    private final Path folder;
    private final List<ServicePlan> plans = new ArrayList<>();
    private volatile InitiatorConfig.FleetFile fleetFile;

    PlanLimits(RunContext context, Path folder) throws IOException {
        this.context = context;
        this.scenario = context.scenario();
        this.folder = folder;
        plans.addAll(scenario.planLoads().stream().map(Scenario.PlanLoad::plan).toList());
        boolean changesLimits =
                scenario.faults().stream()
                        .anyMatch(fault -> fault.type() == Scenario.FaultType.LIMIT);
        fleetFile = changesLimits ? writeFleet() : null;
        noteRules();
    }

    /** The file that initiators follow, null where no fault changes a limit. */
    InitiatorConfig.FleetFile fleetFile() {
        return fleetFile;
    }

    /** Gives the plan named by a fault its new limit. */
    synchronized void changeLimit(Fault fault) throws IOException {
        plans.replaceAll(
                p ->
                        p.name().equals(fault.name())
                                ? new ServicePlan(
                                        p.name(),
                                        p.reservationRate(),
                                        p.weight(),
                                        fault.magnitude(),
                                        fault.range()[0],
                                        fault.range()[1])
                                : p);
        fleetFile = writeFleet(); // initiators that start from now on read this file
        noteRules();
    }

    private void noteRules() {
        context.note("stage", Note.Kind.RULES, RulesNote.text(scenario, plans), 0);
    }

    /** Writes the deployment in the configuration language to a new file and renames it. */
    private InitiatorConfig.FleetFile writeFleet() throws IOException {
        SchedulerSettings p = scenario.deployment().scheduler();
        DeploymentSettings now =
                new DeploymentSettings(
                        new SchedulerSettings(
                                p.initiatorCount(),
                                p.requestClasses(),
                                List.copyOf(plans),
                                p.capabilities(),
                                p.limits(),
                                p.mustWatchEndpoints()),
                        scenario.deployment().responseSlackMicros(),
                        scenario.deployment().drainGraceMicros());
        Path file = folder.resolve("main.fleet");
        Path aside = folder.resolve("main.fleet.new");
        Files.writeString(aside, FleetConverter.text(now));
        Files.move(
                aside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        String name = ConfigWatcher.name(file);
        Checker.Result checked = Checker.check(new FileSourceProvider(), name);
        if (!checked.isValid()) {
            throw new IOException(
                    "the day cannot be told in the language: " + checked.diagnostics());
        }
        return new InitiatorConfig.FleetFile(name, checked.fleet(), checked.files());
    }
}
