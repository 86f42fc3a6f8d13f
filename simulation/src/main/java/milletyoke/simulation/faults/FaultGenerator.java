package milletyoke.simulation.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.scenario.script.Scenario.FaultType;
import milletyoke.scenario.script.Scenario.Selection;

/**
 * Draws troubles for a day from a seed: some at once, some in a cascade, whatever the day itself
 * had is left out.
 */
public final class FaultGenerator {
    private static final List<FaultType> FAULT_TYPES =
            List.of(
                    FaultType.HANG,
                    FaultType.SLOW,
                    FaultType.PAUSES,
                    FaultType.ERRORS,
                    FaultType.LOST,
                    FaultType.RESETS,
                    FaultType.UNREACHABLE,
                    FaultType.RESTART,
                    FaultType.ROLL,
                    FaultType.DRAIN,
                    FaultType.AGE,
                    FaultType.LIST_LATE,
                    FaultType.LIST_PARTIAL,
                    FaultType.LIST_FLAP,
                    FaultType.LIST_UNAVAILABLE,
                    FaultType.KILL,
                    FaultType.STILL,
                    FaultType.LEAVE,
                    FaultType.SURGE,
                    FaultType.HOTKEY,
                    FaultType.RECONNECT,
                    FaultType.PARTITION,
                    FaultType.CLOCK);

    /**
     * Within what storms are drawn.
     *
     * @param faultTypes of troubles
     * @param maxFaults troubles in one storm
     * @param minTargetFraction of targets that one strikes, and {@code maxTargetFraction}; in
     *     tenths
     * @param maxDurationFraction a trouble lasts, as a part of the day
     */
    public record Ranges(
            List<FaultType> faultTypes,
            int maxFaults,
            double minTargetFraction,
            double maxTargetFraction,
            double maxDurationFraction) {
        public Ranges {
            if (faultTypes.isEmpty()
                    || faultTypes.contains(FaultType.LIMIT)
                    || maxFaults < 1
                    || !(minTargetFraction >= 0.1
                            && minTargetFraction <= maxTargetFraction
                            && maxTargetFraction <= 1)
                    || !(maxDurationFraction > 0 && maxDurationFraction <= 1)) {
                throw new IllegalArgumentException(
                        "some troubles but limit, one or more in a storm, parts of 10% to 100% and"
                                + " the least first, and a longest of up to the whole day are expected");
            }
        }

        /** All troubles, a tenth to four fifths of the targets, up to half of the day. */
        public static Ranges defaults(int most) {
            return new Ranges(FAULT_TYPES, most, 0.1, 0.8, 0.5);
        }
    }

    private FaultGenerator() {}

    /** A day with other troubles, at least one. */
    public static Scenario generate(Scenario base, long seed, Ranges ranges) {
        SplittableRandom chance = new SplittableRandom(seed);
        int count = 1 + chance.nextInt(ranges.maxFaults());
        List<Fault> all = new ArrayList<>();
        long at = 0;
        for (int n = 0; n < count; n++) {
            boolean cascade = n > 0 && chance.nextInt(3) == 0; // soon after the one before
            at =
                    cascade
                            ? at + 1000 * (1 + chance.nextLong(1500))
                            : 1000 * chance.nextLong(base.durationMicros() * 8 / 10_000);
            all.add(drawFault(chance, at, ranges, base));
        }
        all.sort(Comparator.comparingLong(Fault::atMicros));
        return base.withFaults(
                base.name() + "-storm-" + Long.toUnsignedString(seed, 36), base.seed() + seed, all);
    }

    private static Fault drawFault(SplittableRandom c, long at, Ranges in, Scenario base) {
        FaultType type = in.faultTypes().get(c.nextInt(in.faultTypes().size()));
        int tenths = (int) Math.round(10 * in.minTargetFraction());
        boolean initiator =
                switch (type) {
                    case KILL, STILL, LEAVE, PARTITION -> true;
                    default -> false;
                };
        Selection whom =
                initiator
                        ? new Selection(0, 1 + c.nextInt(base.initiators()))
                        : new Selection(
                                (tenths
                                                + c.nextInt(
                                                        (int)
                                                                        Math.round(
                                                                                10
                                                                                        * in
                                                                                                .maxTargetFraction())
                                                                - tenths
                                                                + 1))
                                        / 10.0,
                                0);
        long span =
                1000
                        * (500
                                + c.nextLong(
                                        Math.max(
                                                1,
                                                (long)
                                                        (base.durationMicros()
                                                                * in.maxDurationFraction()
                                                                / 1000))));
        double figure =
                switch (type) {
                    case SLOW, AGE -> 2 + c.nextInt(7);
                    case ERRORS, LOST, HOTKEY, PARTITION -> (1 + c.nextInt(9)) / 10.0;
                    case SURGE -> (2 + c.nextInt(20)) / 10.0;
                    default -> 0;
                };
        long[] range =
                switch (type) {
                    case PAUSES -> new long[] {100_000, 400_000};
                    case LIST_LATE -> new long[] {1_000_000, 1_000_000 + 1000 * c.nextLong(3_000)};
                    default -> new long[] {300_000, 300_000 + 1000 * c.nextLong(1_500)};
                };
        long every =
                switch (type) {
                    case PARTITION -> c.nextInt(4);
                    default -> 1000 * (100 + c.nextLong(900));
                };
        if (type == FaultType.CLOCK) {
            span = (c.nextBoolean() ? 1 : -1) * 1_000_000 * (1 + c.nextLong(30));
        }
        int count = type == FaultType.SURGE ? 1 + c.nextInt(4) : 0;
        return new Fault(at, 0, type, whom, span, figure, range, every, count, 300_000, "");
    }
}
