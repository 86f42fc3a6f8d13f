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
 * Holds the current service plans. If a scenario changes their limits, the plans are written to a
 * fleet file that the initiators watch.
 */
final class PlanLimits {
    private final RunContext context;
    private final Scenario scenario;
    private final Path directory;
    private final List<ServicePlan> plans = new ArrayList<>();
    private volatile InitiatorConfig.FleetFile fleetFile;

    PlanLimits(RunContext context, Path directory) throws IOException {
        this.context = context;
        this.scenario = context.scenario();
        this.directory = directory;
        plans.addAll(scenario.planLoads().stream().map(Scenario.PlanLoad::plan).toList());
        boolean hasLimitChanges =
                scenario.faults().stream()
                        .anyMatch(fault -> fault.type() == Scenario.FaultType.LIMIT);
        fleetFile = hasLimitChanges ? writeFleet() : null;
        recordRules();
    }

    /** Returns the file that initiators watch; null if no fault changes a limit. */
    InitiatorConfig.FleetFile fleetFile() {
        return fleetFile;
    }

    /** Sets the new limit of the plan that a fault names. */
    synchronized void changeLimit(Fault fault) throws IOException {
        plans.replaceAll(
                plan ->
                        plan.name().equals(fault.name())
                                ? new ServicePlan(
                                        plan.name(),
                                        plan.reservationRate(),
                                        plan.weight(),
                                        fault.magnitude(),
                                        fault.range()[0],
                                        fault.range()[1])
                                : plan);
        fleetFile = writeFleet(); // initiators that start from now on read this file
        recordRules();
    }

    private void recordRules() {
        context.note("stage", Note.Kind.RULES, RuleSettingsWriter.toJson(scenario, plans), 0);
    }

    /**
     * Writes the deployment in the configuration language to a temporary file and renames it to the
     * watched file.
     */
    private InitiatorConfig.FleetFile writeFleet() throws IOException {
        SchedulerSettings scheduler = scenario.deployment().scheduler();
        DeploymentSettings deployment =
                new DeploymentSettings(
                        new SchedulerSettings(
                                scheduler.initiatorCount(),
                                scheduler.requestClasses(),
                                List.copyOf(plans),
                                scheduler.capabilities(),
                                scheduler.limits(),
                                scheduler.mustWatchEndpoints()),
                        scenario.deployment().responseSlackMicros(),
                        scenario.deployment().drainGraceMicros());
        Path file = directory.resolve("main.fleet");
        Path temporaryFile = directory.resolve("main.fleet.new");
        Files.writeString(temporaryFile, FleetConverter.text(deployment));
        Files.move(
                temporaryFile,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        String name = ConfigWatcher.name(file);
        Checker.Result checked = Checker.check(new FileSourceProvider(), name);
        if (!checked.isValid()) {
            throw new IOException("the generated fleet file is invalid: " + checked.diagnostics());
        }
        return new InitiatorConfig.FleetFile(name, checked.fleet(), checked.files());
    }
}
