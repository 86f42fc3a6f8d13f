package milletyoke.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;
import milletyoke.gateway.Initiator;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.FleetConverter;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.wire.proto.Note;

/**
 * The initiators of one run, by number from 0; empty if clients connect to the targets directly.
 */
final class InitiatorFleet {
    private final RunContext context;
    private final Scenario scenario;
    private final PlanLimits planLimits;
    private final Path directory;
    private final Path consoleTokens;
    private final Supplier<Scheduler> schedulerOverride;
    private final int discoveryPort;
    private final Initiator[] initiators;
    private final int[] ports;
    private final boolean[] isRunning;

    InitiatorFleet(
            RunContext context,
            PlanLimits planLimits,
            Path directory,
            Path consoleTokens,
            Supplier<Scheduler> schedulerOverride,
            int discoveryPort,
            int count)
            throws IOException {
        this.context = context;
        this.scenario = context.scenario();
        this.planLimits = planLimits;
        this.directory = directory;
        this.consoleTokens = consoleTokens;
        this.schedulerOverride = schedulerOverride;
        this.discoveryPort = discoveryPort;
        initiators = new Initiator[count];
        ports = new int[count];
        isRunning = new boolean[count];
        for (int i = 0; i < count; i++) {
            start(i);
        }
    }

    int count() {
        return initiators.length;
    }

    Initiator get(int i) {
        return initiators[i];
    }

    int port(int i) {
        return ports[i];
    }

    boolean isRunning(int i) {
        return isRunning[i];
    }

    List<Integer> select(Fault fault) {
        return context.select(fault.selection(), initiators.length).stream()
                .filter(i -> initiators.length > 0)
                .toList();
    }

    void start(int i) throws IOException {
        InitiatorConfig.FleetFile fleetFile = planLimits.fleetFile();
        String name = "initiator-" + (i + 1);
        InitiatorConfig config =
                new InitiatorConfig(
                        name,
                        i + 1,
                        new Address("127.0.0.1", ports[i]),
                        new Address("127.0.0.1", discoveryPort),
                        directory.resolve(name),
                        fleetFile == null
                                ? scenario.deployment()
                                : FleetConverter.deployment(fleetFile.fleet()),
                        new InitiatorConfig.Transport(
                                250_000,
                                30_000_000,
                                4,
                                100,
                                250_000,
                                1 << 20,
                                8L << 20,
                                5_000_000,
                                2),
                        new InitiatorConfig.CapacityLimits(
                                scenario.maxPendingRequests(),
                                context.environment().isVirtual() ? 1 << 12 : 1 << 16,
                                1 << 16,
                                1e6,
                                3_600_000_000L),
                        consoleTokens == null
                                ? null
                                : new InitiatorConfig.Console(
                                        new Address("127.0.0.1", 0), consoleTokens, 1000),
                        fleetFile);
        context.note(name, Note.Kind.STARTED, "initiator", 0);
        try {
            initiators[i] =
                    Initiator.start(
                            config,
                            context.observer(name),
                            context.environment(),
                            context.nextSeed(),
                            schedulerOverride);
        } catch (ConfigException e) {
            throw new IOException(e.getMessage(), e);
        }
        ports[i] = initiators[i].port();
        isRunning[i] = true;
    }

    /** Kills an initiator and starts it again after a downtime in microseconds. */
    void kill(int i, long downtimeMicros) {
        if (!isRunning[i]) {
            return;
        }
        isRunning[i] = false;
        context.note("initiator-" + (i + 1), Note.Kind.KILLED, "", 0);
        initiators[i].kill();
        context.schedule(downtimeMicros, () -> start(i));
    }

    /** Shuts an initiator down and starts it again after a downtime in microseconds. */
    void leave(int i, long downtimeMicros) {
        if (!isRunning[i]) {
            return;
        }
        isRunning[i] = false;
        context.note("initiator-" + (i + 1), Note.Kind.SHUTTING_DOWN, "", 0);
        initiators[i].beginShutdown(30_000, () -> context.schedule(downtimeMicros, () -> start(i)));
    }

    /** Halts an initiator's event loop for some time. */
    void stall(int i, long durationMicros) {
        initiators[i].stall(
                durationMicros / 1000,
                () -> context.note("initiator-" + (i + 1), Note.Kind.STALLED, "", durationMicros));
    }

    void capture(Path directory) throws IOException {
        for (Initiator initiator : initiators) {
            initiator.captureTo(directory.resolve(initiator.name() + ".traffic"));
        }
    }

    void killAll() {
        for (Initiator initiator : initiators) {
            if (initiator != null) {
                initiator.kill();
            }
        }
    }
}
