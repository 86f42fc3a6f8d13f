package milletyoke.scenario;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.standins.LoadGenerator;
import milletyoke.standins.Target;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Note;

/** Injects the faults of a scenario into its deployment, with one method for each fault type. */
final class FaultInjector {
    private final RunContext context;
    private final PlanLimits planLimits;
    private final TargetFleet targets;
    private final InitiatorFleet initiators;
    private final LoadGenerator loadGenerator;
    private final List<String> volumes;
    private final boolean isDirect;

    FaultInjector(
            RunContext context,
            PlanLimits planLimits,
            TargetFleet targets,
            InitiatorFleet initiators,
            LoadGenerator loadGenerator,
            List<String> volumes,
            boolean isDirect) {
        this.context = context;
        this.planLimits = planLimits;
        this.targets = targets;
        this.initiators = initiators;
        this.loadGenerator = loadGenerator;
        this.volumes = volumes;
        this.isDirect = isDirect;
    }

    /** Starts a fault now and schedules its end if it has a duration. */
    void inject(Fault fault) throws IOException {
        switch (fault.type()) {
            case HANG -> hang(fault);
            case UNREACHABLE -> refuseConnections(fault);
            case SLOW -> slowDown(fault);
            case PAUSES -> pause(fault);
            case ERRORS -> failRequests(fault);
            case LOST -> dropReplies(fault);
            case RESETS -> resetConnections(fault);
            case RESTART -> restart(fault);
            case ROLL -> roll(fault);
            case DRAIN -> drain(fault);
            case AGE -> age(fault);
            case LIST_LATE -> delayEndpointList(fault);
            case LIST_PARTIAL -> hideFromEndpointList(fault);
            case LIST_UNAVAILABLE -> disableEndpointList(fault);
            case LIST_FLAP -> flap(fault);
            case PARTITION -> partition(fault);
            case CLOCK -> adjustWallClock(fault);
            case KILL -> killInitiators(fault);
            case LEAVE -> shutDownInitiators(fault);
            case STILL -> stallInitiators(fault);
            case SURGE -> surge(fault);
            case HOTKEY -> concentrateOnHotKey(fault);
            case LIMIT -> changeLimit(fault);
            case RECONNECT -> reconnectClients(fault);
        }
    }

    private void hang(Fault fault) {
        applyForDuration(
                fault, target -> target.setHanging(true), target -> target.setHanging(false));
    }

    private void refuseConnections(Fault fault) {
        applyForDuration(
                fault,
                target -> {
                    target.setRefusingConnections(true);
                    target.resetConnections();
                },
                target -> target.setRefusingConnections(false));
    }

    private void slowDown(Fault fault) {
        applyForDuration(
                fault,
                target -> target.setSlowdownFactor(fault.magnitude()),
                target -> target.setSlowdownFactor(1));
    }

    private void pause(Fault fault) {
        applyForDuration(
                fault,
                target ->
                        target.setPauses(
                                fault.intervalMicros(), fault.range()[0], fault.range()[1]),
                target -> target.setPauses(0, 0, 0));
    }

    private void failRequests(Fault fault) {
        applyForDuration(
                fault,
                target -> target.setErrorFraction(fault.magnitude()),
                target -> target.setErrorFraction(0));
    }

    private void dropReplies(Fault fault) {
        applyForDuration(
                fault,
                target -> target.setDroppedReplyFraction(fault.magnitude()),
                target -> target.setDroppedReplyFraction(0));
    }

    private void resetConnections(Fault fault) {
        List<Target> selected = targets.select(fault);
        for (long delayMicros = 0;
                delayMicros < fault.durationMicros();
                delayMicros += fault.intervalMicros()) {
            context.schedule(delayMicros, () -> selected.forEach(Target::resetConnections));
        }
    }

    private void restart(Fault fault) {
        targets.select(fault)
                .forEach(target -> targets.restart(target, context.between(fault.range())));
    }

    private void drain(Fault fault) {
        applyForDuration(
                fault,
                target -> targets.announce(target, Health.DRAINING),
                target -> targets.announce(target, Health.ACTIVE));
    }

    private void delayEndpointList(Fault fault) {
        targets.discovery().setUpdateLag(fault.range()[0], fault.range()[1]);
        context.schedule(fault.durationMicros(), targets::resetUpdateLag);
    }

    private void hideFromEndpointList(Fault fault) {
        Set<String> hidden = new LinkedHashSet<>();
        targets.select(fault).forEach(target -> hidden.add(target.id()));
        targets.discovery().hide(hidden);
        context.schedule(fault.durationMicros(), () -> targets.discovery().hide(Set.of()));
    }

    private void disableEndpointList(Fault fault) {
        targets.discovery().setUnavailable(true);
        context.schedule(fault.durationMicros(), () -> targets.discovery().setUnavailable(false));
    }

    private void adjustWallClock(Fault fault) {
        context.environment().adjustWallClock(fault.durationMicros());
    }

    private void killInitiators(Fault fault) {
        initiators.select(fault).forEach(i -> initiators.kill(i, context.between(fault.range())));
    }

    private void shutDownInitiators(Fault fault) {
        initiators.select(fault).forEach(i -> initiators.leave(i, context.between(fault.range())));
    }

    private void stallInitiators(Fault fault) {
        initiators.select(fault).forEach(i -> initiators.stall(i, fault.durationMicros()));
    }

    private void surge(Fault fault) {
        Set<String> surgingVolumes = new LinkedHashSet<>();
        context.select(new Scenario.Selection(1, 0), volumes.size()).stream()
                .limit(fault.count())
                .forEach(index -> surgingVolumes.add(volumes.get(index)));
        loadGenerator.setSurge(surgingVolumes, fault.magnitude());
        context.schedule(fault.durationMicros(), () -> loadGenerator.setSurge(Set.of(), 0));
    }

    private void concentrateOnHotKey(Fault fault) {
        loadGenerator.setHotKeyFraction(fault.magnitude());
        context.schedule(fault.durationMicros(), () -> loadGenerator.setHotKeyFraction(0));
    }

    private void changeLimit(Fault fault) throws IOException {
        planLimits.changeLimit(fault);
    }

    private void reconnectClients(Fault fault) {
        context.note("client", Note.Kind.OTHER, "clients reconnect", 0);
        loadGenerator.reconnect();
    }

    /** Replaces the targets one after another: each drains, its successor starts, it is removed. */
    private void roll(Fault fault) {
        List<Target> selected = targets.select(fault);
        for (int i = 0; i < selected.size(); i++) {
            Target target = selected.get(i);
            context.schedule(
                    fault.durationMicros() * i / selected.size(), () -> replace(target, fault));
        }
    }

    private void replace(Target target, Fault fault) throws IOException {
        Target successor = targets.replace(target);
        if (isDirect) {
            loadGenerator.moveServer(target.shard(), successor.port());
        }
        context.schedule(
                fault.downtimeMicros() + context.scenario().fleet().endpointListLagMicros()[1],
                () -> targets.remove(target));
    }

    /** Slows targets down in ten steps, then restarts them. */
    private void age(Fault fault) {
        List<Target> selected = targets.select(fault);
        for (int step = 1; step <= 10; step++) {
            double factor = 1 + (fault.magnitude() - 1) * step / 10;
            context.schedule(
                    fault.durationMicros() * step / 10,
                    () -> selected.forEach(target -> target.setSlowdownFactor(factor)));
        }
        context.schedule(
                fault.durationMicros(),
                () ->
                        selected.forEach(
                                target -> {
                                    target.setSlowdownFactor(1);
                                    targets.restart(target, fault.downtimeMicros());
                                }));
    }

    /**
     * Hides targets from the endpoint list and lists them again in turn; they are listed at the
     * end.
     */
    private void flap(Fault fault) {
        Set<String> flapping = new LinkedHashSet<>();
        targets.select(fault).forEach(target -> flapping.add(target.id()));
        boolean isHiding = true;
        for (long delayMicros = 0;
                delayMicros < fault.durationMicros();
                delayMicros += fault.intervalMicros()) {
            Set<String> hidden = isHiding ? flapping : Set.of();
            context.schedule(delayMicros, () -> targets.discovery().hide(hidden));
            isHiding = !isHiding;
        }
        context.schedule(fault.durationMicros(), () -> targets.discovery().hide(Set.of()));
    }

    private void partition(Fault fault) {
        List<Integer> shards =
                context.select(
                        new Scenario.Selection(fault.magnitude(), fault.count()),
                        targets.targets().size());
        for (int i : initiators.select(fault)) {
            String initiator = "initiator-" + (i + 1);
            for (int shard : shards) {
                String target = targets.targets().get(shard).id();
                boolean dropsAttemptsOnly = (fault.intervalMicros() & Scenario.GREY) != 0;
                context.environment()
                        .partition(initiator, target, dropsAttemptsOnly, fault.durationMicros());
                if ((fault.intervalMicros() & Scenario.ONE_WAY) == 0) {
                    context.environment()
                            .partition(
                                    target, initiator, dropsAttemptsOnly, fault.durationMicros());
                }
            }
        }
    }

    private void applyForDuration(Fault fault, Consumer<Target> onStart, Consumer<Target> onEnd) {
        List<Target> selected = targets.select(fault);
        selected.forEach(onStart);
        context.schedule(fault.durationMicros(), () -> selected.forEach(onEnd));
    }
}
