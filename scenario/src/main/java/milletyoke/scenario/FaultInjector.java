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

/** Injects the faults of a scenario into its fleet. One method a fault type. */
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

    /** Starts a fault now; where it has a duration, its end is scheduled. */
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
        applyForDuration(fault, x -> x.setHanging(true), x -> x.setHanging(false));
    }

    private void refuseConnections(Fault fault) {
        applyForDuration(
                fault,
                x -> {
                    x.setRefusingConnections(true);
                    x.resetConnections();
                },
                x -> x.setRefusingConnections(false));
    }

    private void slowDown(Fault fault) {
        applyForDuration(
                fault, x -> x.setSlowdownFactor(fault.magnitude()), x -> x.setSlowdownFactor(1));
    }

    private void pause(Fault fault) {
        applyForDuration(
                fault,
                x -> x.setPauses(fault.intervalMicros(), fault.range()[0], fault.range()[1]),
                x -> x.setPauses(0, 0, 0));
    }

    private void failRequests(Fault fault) {
        applyForDuration(
                fault, x -> x.setErrorFraction(fault.magnitude()), x -> x.setErrorFraction(0));
    }

    private void dropReplies(Fault fault) {
        applyForDuration(
                fault,
                x -> x.setDroppedReplyFraction(fault.magnitude()),
                x -> x.setDroppedReplyFraction(0));
    }

    private void resetConnections(Fault fault) {
        List<Target> whom = targets.select(fault);
        for (long in = 0; in < fault.durationMicros(); in += fault.intervalMicros()) {
            context.schedule(in, () -> whom.forEach(Target::resetConnections));
        }
    }

    private void restart(Fault fault) {
        targets.select(fault).forEach(x -> targets.restart(x, context.between(fault.range())));
    }

    private void drain(Fault fault) {
        applyForDuration(
                fault,
                x -> targets.announce(x, Health.DRAINING),
                x -> targets.announce(x, Health.ACTIVE));
    }

    private void delayEndpointList(Fault fault) {
        targets.discovery().setUpdateLag(fault.range()[0], fault.range()[1]);
        context.schedule(fault.durationMicros(), targets::resetUpdateLag);
    }

    private void hideFromEndpointList(Fault fault) {
        Set<String> hidden = new LinkedHashSet<>();
        targets.select(fault).forEach(x -> hidden.add(x.id()));
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
        Set<String> whom = new LinkedHashSet<>();
        context.select(new Scenario.Selection(1, 0), volumes.size()).stream()
                .limit(fault.count())
                .forEach(v -> whom.add(volumes.get(v)));
        loadGenerator.setSurge(whom, fault.magnitude());
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
            Target old = selected.get(i);
            context.schedule(
                    fault.durationMicros() * i / selected.size(), () -> replace(old, fault));
        }
    }

    private void replace(Target old, Fault fault) throws IOException {
        Target next = targets.replace(old);
        if (isDirect) {
            loadGenerator.moveServer(old.shard(), next.port());
        }
        context.schedule(
                fault.downtimeMicros() + context.scenario().fleet().endpointListLagMicros()[1],
                () -> targets.remove(old));
    }

    /** Slows targets down in ten steps, then restarts them. */
    private void age(Fault fault) {
        List<Target> whom = targets.select(fault);
        for (int step = 1; step <= 10; step++) {
            double factor = 1 + (fault.magnitude() - 1) * step / 10;
            context.schedule(
                    fault.durationMicros() * step / 10,
                    () -> whom.forEach(x -> x.setSlowdownFactor(factor)));
        }
        context.schedule(
                fault.durationMicros(),
                () ->
                        whom.forEach(
                                x -> {
                                    x.setSlowdownFactor(1);
                                    targets.restart(x, fault.downtimeMicros());
                                }));
    }

    /** Hides targets from the endpoint list and shows them in turn; shown at the end. */
    private void flap(Fault fault) {
        Set<String> some = new LinkedHashSet<>();
        targets.select(fault).forEach(x -> some.add(x.id()));
        boolean hide = true;
        for (long in = 0; in < fault.durationMicros(); in += fault.intervalMicros()) {
            Set<String> next = hide ? some : Set.of();
            context.schedule(in, () -> targets.discovery().hide(next));
            hide = !hide;
        }
        context.schedule(fault.durationMicros(), () -> targets.discovery().hide(Set.of()));
    }

    private void partition(Fault fault) {
        List<Integer> shards =
                context.select(
                        new Scenario.Selection(fault.magnitude(), fault.count()),
                        targets.targets().size());
        for (int i : initiators.select(fault)) {
            String one = "initiator-" + (i + 1);
            for (int shard : shards) {
                String other = targets.targets().get(shard).id();
                boolean work = (fault.intervalMicros() & Scenario.GREY) != 0;
                context.environment().partition(one, other, work, fault.durationMicros());
                if ((fault.intervalMicros() & Scenario.ONE_WAY) == 0) {
                    context.environment().partition(other, one, work, fault.durationMicros());
                }
            }
        }
    }

    private void applyForDuration(Fault fault, Consumer<Target> begins, Consumer<Target> ends) {
        List<Target> whom = targets.select(fault);
        whom.forEach(begins);
        context.schedule(fault.durationMicros(), () -> whom.forEach(ends));
    }
}
