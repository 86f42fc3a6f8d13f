package milletyoke.scenario.script;

import java.nio.file.Path;
import java.util.List;
import milletyoke.gateway.config.DeploymentSettings;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.standins.LoadProfile;
import milletyoke.standins.WorkDistribution;

/**
 * A scenario: the deployment, the load and the faults with their times. Times are in microseconds.
 *
 * @param durationMicros how long clients send requests
 * @param maxPendingRequests most requests that one initiator holds
 * @param classLoads the load of each request class, in the order of {@code requestClasses}
 * @param mustWatchEndpoints whether initiators must request the endpoint list from discovery
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
     * Properties of the network and machines of a simulation; not used on sockets.
     *
     * @param latencyMicros least and greatest latency of a frame from end to end
     * @param loopTurnMicros processing time of one turn of an initiator's event loop
     */
    public record Network(long[] latencyMicros, long loopTurnMicros) {}

    /**
     * Flag of a partition, added to {@link Fault#intervalMicros}: only frames to the targets are
     * dropped.
     */
    public static final long ONE_WAY = 1;

    /**
     * Flag of a partition, added to {@link Fault#intervalMicros}: attempts are dropped, but not
     * probes.
     */
    public static final long GREY = 2;

    /**
     * The targets; see {@link milletyoke.standins.TargetBehavior}.
     *
     * @param coreSpeeds lowest and highest speed of a core; each target draws one
     * @param unitMicros time to execute one unit of work on a core of speed 1
     */
    public record Fleet(
            int targets,
            int zones,
            int cores,
            double[] coreSpeeds,
            long unitMicros,
            int queueCapacity,
            int maxConnections,
            int cachedExtents,
            double cachedExtentSaving,
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

    /** The load of one request class. */
    public record ClassLoad(
            double share,
            int minUnits,
            int maxUnits,
            boolean isWrite,
            boolean isNewObject,
            long deadlineMicros) {}

    /**
     * A service plan, its share of the load, and the number of volumes and of hosts of each volume.
     */
    public record PlanLoad(
            SchedulerSettings.ServicePlan plan, double share, int volumes, int hosts) {}

    /**
     * The limits that the rules check; the capacity of a target during slow start follows from the
     * fleet.
     */
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

    /**
     * The requests that clients send.
     *
     * @param replaySpeed factor by which captured traffic is sped up
     */
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
     * A fault.
     *
     * @param atMicros when it begins, since the start of the load
     * @param line line number in the script, for messages
     * @param count number of volumes; for a partition, the number of its target, or 0 if {@code
     *     magnitude} is the fraction of targets
     * @param name name of the plan whose limit changes to the rate {@code magnitude} and the depth
     *     and slack in {@code range}
     * @param belowServiceLevel 0 if the fault begins at {@code atMicros}; otherwise it begins,
     *     once, when the service level of the last second is below this fraction after {@code
     *     atMicros}
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

        /** Creates a fault that begins at its time, regardless of the service level. */
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

        /**
         * Returns a copy that begins when the service level of the last second is below a fraction.
         */
        Fault belowServiceLevel(double fraction) {
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
                    fraction);
        }
    }

    /**
     * The targets or initiators of a fault.
     *
     * @param part the fraction of them, drawn with the seed of the scenario; not used if {@code
     *     number} is set
     * @param number the number of a single one, from 1; 0 if unset
     */
    public record Selection(double part, int number) {}

    /** The kinds of faults. */
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

        /** Returns whether the fault can be injected only in a simulation. */
        public boolean isSimulationOnly() {
            return this == PARTITION || this == CLOCK;
        }
    }

    /**
     * Returns the units per overload window that even the weakest target tolerates at the start of
     * its warm-up, less a margin of 10%.
     */
    public double warmUpBudgetUnits() {
        double lowestCapacity = fleet.cores() * fleet.coreSpeeds()[0] * 1e6 / fleet.unitMicros();
        return Math.floor(
                ruleBounds.overloadFactor()
                        * ruleBounds.initialCapacityFraction()
                        * lowestCapacity
                        * ruleBounds.overloadWindowMicros()
                        / 1e6
                        * 0.9);
    }

    /** Returns the deployment settings of the initiators. */
    public DeploymentSettings deployment() {
        var bounds = ruleBounds;
        return new DeploymentSettings(
                new SchedulerSettings(
                        initiators,
                        requestClasses,
                        planLoads.stream().map(PlanLoad::plan).toList(),
                        capabilities,
                        new SchedulerSettings.RuleLimits(
                                bounds.keyQuietMicros(),
                                bounds.warmUpMicros(),
                                bounds.initialCapacityFraction(),
                                warmUpBudgetUnits(),
                                bounds.overloadWindowMicros(),
                                bounds.overloadFactor(),
                                bounds.retryBudgetMinimum(),
                                bounds.retryBudgetFraction(),
                                bounds.retryBudgetWindowMicros(),
                                bounds.watchDeadlineMicros()),
                        mustWatchEndpoints),
                bounds.responseSlackMicros(),
                bounds.drainGraceMicros());
    }

    /** Returns a copy with other faults, another name and another seed. */
    public Scenario withFaults(String newName, long newSeed, List<Fault> newFaults) {
        return new Scenario(
                newName,
                newSeed,
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
                List.copyOf(newFaults));
    }

    /** Returns a copy with another rate of requests per second. */
    public Scenario withRate(double rate) {
        Load newLoad =
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
                newLoad,
                network,
                faults);
    }

    /** Returns the idempotency of a request class as a value of the load profile. */
    public static LoadProfile.Idempotency clientIdempotency(
            SchedulerSettings.RequestClass requestClass) {
        return LoadProfile.Idempotency.valueOf(requestClass.idempotency().name());
    }
}
