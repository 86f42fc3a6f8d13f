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
 * @param held most accesses that one initiator holds
 * @param unit work of one unit at a core of speed 1
 * @param speeds of cores, least and most; each target draws one
 */
public record Scenario(
        String name,
        long seed,
        long durationMicros,
        int initiators,
        int held,
        Fleet fleet,
        List<SchedulerSettings.RequestClass> categories,
        List<Kind> kinds,
        List<PlanOf> plans,
        SchedulerSettings.Capabilities allowances,
        BoundsOf bounds,
        boolean listAsked,
        Load load,
        Network network,
        List<Fault> faults) {

    /**
     * What the lab's network and machines are like; sockets have what they have.
     *
     * @param travel of a frame from end to end, least and most
     * @param turn an initiator's loop is busy for so long with each turn
     */
    public record Network(long[] travel, long turn) {}

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
            double[] speeds,
            long unit,
            int room,
            int connections,
            int extents,
            double extentSaves,
            double putOff,
            long putOffEvery,
            long pauseEvery,
            long pause,
            boolean tells,
            boolean dropsCancelled,
            long[] listLag,
            double crowd,
            long connecting,
            double warmUnits,
            WorkDistribution work) {}

    /** What clients know of a category beside its provisioning. */
    public record Kind(
            double share,
            int leastUnits,
            int mostUnits,
            boolean write,
            boolean anywhere,
            long abandon) {}

    /** A plan, the part of demand on it and how many volumes have it. */
    public record PlanOf(
            SchedulerSettings.ServicePlan plan, double share, int volumes, int hosts) {}

    /** The rules' figures; what a cold target bears follows from the fleet. */
    public record BoundsOf(
            long answerSlack,
            long drainGrace,
            long keyQuiet,
            long cold,
            double coldShare,
            long fall,
            double tipMultiple,
            double budgetFree,
            double budgetShare,
            long budgetSpan,
            long mustAskIn) {}

    public record Load(
            double rate,
            int retries,
            long retryWait,
            double impatient,
            long[] littleTime,
            double vanish,
            int closed,
            long think,
            List<Path> traffic,
            double speed) {}

    /**
     * Something that goes wrong.
     *
     * @param atMicros since the start
     * @param line of the script, for messages
     * @param count of volumes; of a partition the number of its target, 0 where {@code magnitude}
     *     is the part of them
     * @param name of the plan whose limit changes: {@code magnitude} is its rate, {@code range}
     *     depth and slack
     * @param under 0, or from {@code atMicros} on it comes when service of the last second is under
     *     this part, once
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
            double under) {

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
        Fault under(double part) {
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
        public boolean virtual() {
            return this == PARTITION || this == CLOCK;
        }
    }

    /** Units within the fall time that a cold target always bears, whichever target it is. */
    public double coldBears() {
        double weakest = fleet.cores() * fleet.speeds()[0] * 1e6 / fleet.unit();
        return Math.floor(
                bounds.tipMultiple() * bounds.coldShare() * weakest * bounds.fall() / 1e6 * 0.9);
    }

    /** What its initiators are provisioned with. */
    public DeploymentSettings deployment() {
        var b = bounds;
        return new DeploymentSettings(
                new SchedulerSettings(
                        initiators,
                        categories,
                        plans.stream().map(PlanOf::plan).toList(),
                        allowances,
                        new SchedulerSettings.RuleLimits(
                                b.keyQuiet(),
                                b.cold(),
                                b.coldShare(),
                                coldBears(),
                                b.fall(),
                                b.tipMultiple(),
                                b.budgetFree(),
                                b.budgetShare(),
                                b.budgetSpan(),
                                b.mustAskIn()),
                        listAsked),
                b.answerSlack(),
                b.drainGrace());
    }

    /** The same day with other troubles, under another name and seed. */
    public Scenario with(String called, long otherSeed, List<Fault> others) {
        return new Scenario(
                called,
                otherSeed,
                durationMicros,
                initiators,
                held,
                fleet,
                categories,
                kinds,
                plans,
                allowances,
                bounds,
                listAsked,
                load,
                network,
                List.copyOf(others));
    }

    /** The same day with another number of accesses a second. */
    public Scenario at(double rate) {
        Load other =
                new Load(
                        rate,
                        load.retries(),
                        load.retryWait(),
                        load.impatient(),
                        load.littleTime(),
                        load.vanish(),
                        load.closed(),
                        load.think(),
                        load.traffic(),
                        load.speed());
        return new Scenario(
                name,
                seed,
                durationMicros,
                initiators,
                held,
                fleet,
                categories,
                kinds,
                plans,
                allowances,
                bounds,
                listAsked,
                other,
                network,
                faults);
    }

    /** How clients know the repeats of a category. */
    public static LoadProfile.Idempotency repeats(SchedulerSettings.RequestClass c) {
        return LoadProfile.Idempotency.valueOf(c.idempotency().name());
    }
}
