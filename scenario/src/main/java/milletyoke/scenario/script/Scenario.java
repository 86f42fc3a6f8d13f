package milletyoke.scenario.script;

import java.nio.file.Path;
import java.util.List;
import milletyoke.gateway.config.DeploymentSettings;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.standins.LoadProfile;
import milletyoke.standins.WorkDistribution;

/**
 * A day to be played: who is there, what is asked, and what goes wrong when. Times are
 * microseconds.
 *
 * @param durationMicros how long clients ask
 * @param maxPendingRequests most accesses that one initiator holds
 * @param unitMicros work of one unit at a core of speed 1
 * @param coreSpeeds of cores, least and most; each target draws one
 */
public record Scenario(
        String name,
        long seed,
        long durationMicros,
        int initiators,
        int maxPendingRequests,
        Fleet fleet,
        List<SchedulerSettings.RequestClass> requestClasses,
        List<ClassLoad> classLoads,
        List<PlanLoad> planLoads,
        SchedulerSettings.Capabilities capabilities,
        RuleBounds ruleBounds,
        boolean mustWatchEndpoints,
        Load load,
        Network network,
        List<Fault> faults) {

    /**
     * What the lab's network and machines are like; sockets have what they have.
     *
     * @param latencyMicros of a frame from end to end, least and most
     * @param loopTurnMicros an initiator's loop is busy for so long with each turn
     */
    public record Network(long[] latencyMicros, long loopTurnMicros) {}

    /**
     * How a partition cuts, added up in {@link Fault#intervalMicros}: towards the targets alone;
     * work alone, not probes.
     */
    public static final long ONE_WAY = 1, GREY = 2;

    /** The targets; see {@link milletyoke.standins.TargetBehavior}. */
    public record Fleet(
            int targets,
            int zones,
            int cores,
            double[] coreSpeeds,
            long unitMicros,
            int queueCapacity,
            int maxConnections,
            int rememberedExtents,
            double rememberedExtentSaving,
            double deferredWriteFraction,
            long deferredWorkPeriodMicros,
            long pausePeriodMicros,
            long pauseMicros,
            boolean reportsLoad,
            boolean dropsCancelled,
            long[] endpointListLagMicros,
            double queueingPenalty,
            long connectionSetupMicros,
            double warmUpUnits,
            WorkDistribution workDistribution) {}

    /** What clients know of a category beside its provisioning. */
    public record ClassLoad(
            double share,
            int minUnits,
            int maxUnits,
            boolean isWrite,
            boolean isNewObject,
            long deadlineMicros) {}

    /** A plan, the part of demand on it and how many volumes have it. */
    public record PlanLoad(
            SchedulerSettings.ServicePlan plan, double share, int volumes, int hosts) {}

    /** The rules' figures; what a cold target bears follows from the fleet. */
    public record RuleBounds(
            long responseSlackMicros,
            long drainGraceMicros,
            long keyQuietMicros,
            long warmUpMicros,
            double initialCapacityFraction,
            long overloadWindowMicros,
            double overloadFactor,
            double retryBudgetMinimum,
            double retryBudgetFraction,
            long retryBudgetWindowMicros,
            long watchDeadlineMicros) {}

    public record Load(
            double requestsPerSecond,
            int retries,
            long retryDelayMicros,
            double shortDeadlineFraction,
            long[] shortDeadlineMicros,
            double cancelFraction,
            int closedLoopClients,
            long thinkTimeMicros,
            List<Path> captureFiles,
            double replaySpeed) {}

    /**
     * Something that goes wrong.
     *
     * @param atMicros since the start
     * @param line of the script, for messages
     * @param count of volumes; of a partition the number of its target, 0 where {@code magnitude}
     *     is the part of them
     * @param name of the plan whose limit changes: {@code magnitude} is its rate, {@code range}
     *     depth and slack
     * @param belowServiceLevel 0, or from {@code atMicros} on it comes when service of the last
     *     second is under this part, once
     */
    public record Fault(
            long atMicros,
            int line,
            FaultType type,
            Selection selection,
            long durationMicros,
            double magnitude,
            long[] range,
            long intervalMicros,
            int count,
            long downtimeMicros,
            String name,
            double belowServiceLevel) {

        /** One at its time, whatever service is. */
        public Fault(
                long atMicros,
                int line,
                FaultType type,
                Selection selection,
                long durationMicros,
                double magnitude,
                long[] range,
                long intervalMicros,
                int count,
                long downtimeMicros,
                String name) {
            this(
                    atMicros,
                    line,
                    type,
                    selection,
                    durationMicros,
                    magnitude,
                    range,
                    intervalMicros,
                    count,
                    downtimeMicros,
                    name,
                    0);
        }

        /** The same, once service of the last second is under a part. */
        Fault belowServiceLevel(double part) {
            return new Fault(
                    atMicros,
                    line,
                    type,
                    selection,
                    durationMicros,
                    magnitude,
                    range,
                    intervalMicros,
                    count,
                    downtimeMicros,
                    name,
                    part);
        }
    }

    /** Which targets or initiators: a part of them drawn from the seed, or one by number from 1. */
    public record Selection(double part, int number) {}

    public enum FaultType {
        HANG,
        SLOW,
        PAUSES,
        ERRORS,
        LOST,
        RESETS,
        UNREACHABLE,
        RESTART,
        ROLL,
        DRAIN,
        AGE,
        LIST_LATE,
        LIST_PARTIAL,
        LIST_UNAVAILABLE,
        LIST_FLAP,
        KILL,
        STILL,
        LEAVE,
        SURGE,
        HOTKEY,
        RECONNECT,
        LIMIT,
        PARTITION,
        CLOCK;

        /** Whether only the lab can play it. */
        public boolean isSimulationOnly() {
            return this == PARTITION || this == CLOCK;
        }
    }

    /** Units within the fall time that a cold target always bears, whichever target it is. */
    public double warmUpBudgetUnits() {
        double weakest = fleet.cores() * fleet.coreSpeeds()[0] * 1e6 / fleet.unitMicros();
        return Math.floor(
                ruleBounds.overloadFactor()
                        * ruleBounds.initialCapacityFraction()
                        * weakest
                        * ruleBounds.overloadWindowMicros()
                        / 1e6
                        * 0.9);
    }

    /** What its initiators are provisioned with. */
    public DeploymentSettings deployment() {
        var b = ruleBounds;
        return new DeploymentSettings(
                new SchedulerSettings(
                        initiators,
                        requestClasses,
                        planLoads.stream().map(PlanLoad::plan).toList(),
                        capabilities,
                        new SchedulerSettings.RuleLimits(
                                b.keyQuietMicros(),
                                b.warmUpMicros(),
                                b.initialCapacityFraction(),
                                warmUpBudgetUnits(),
                                b.overloadWindowMicros(),
                                b.overloadFactor(),
                                b.retryBudgetMinimum(),
                                b.retryBudgetFraction(),
                                b.retryBudgetWindowMicros(),
                                b.watchDeadlineMicros()),
                        mustWatchEndpoints),
                b.responseSlackMicros(),
                b.drainGraceMicros());
    }

    /** The same day with other troubles, under another name and seed. */
    public Scenario withFaults(String called, long otherSeed, List<Fault> others) {
        return new Scenario(
                called,
                otherSeed,
                durationMicros,
                initiators,
                maxPendingRequests,
                fleet,
                requestClasses,
                classLoads,
                planLoads,
                capabilities,
                ruleBounds,
                mustWatchEndpoints,
                load,
                network,
                List.copyOf(others));
    }

    /** The same day with another number of accesses a second. */
    public Scenario withRate(double rate) {
        Load other =
                new Load(
                        rate,
                        load.retries(),
                        load.retryDelayMicros(),
                        load.shortDeadlineFraction(),
                        load.shortDeadlineMicros(),
                        load.cancelFraction(),
                        load.closedLoopClients(),
                        load.thinkTimeMicros(),
                        load.captureFiles(),
                        load.replaySpeed());
        return new Scenario(
                name,
                seed,
                durationMicros,
                initiators,
                maxPendingRequests,
                fleet,
                requestClasses,
                classLoads,
                planLoads,
                capabilities,
                ruleBounds,
                mustWatchEndpoints,
                other,
                network,
                faults);
    }

    /** How clients know the repeats of a category. */
    public static LoadProfile.Idempotency clientIdempotency(SchedulerSettings.RequestClass c) {
        return LoadProfile.Idempotency.valueOf(c.idempotency().name());
    }
}
