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
 * Replaces the faults of a scenario by random ones drawn from a seed. Faults start at independent
 * times or follow shortly after the one drawn before.
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
     * The ranges that faults are drawn from.
     *
     * @param faultTypes types of faults that may be drawn; {@link FaultType#LIMIT} is not allowed
     * @param maxFaults most faults in one scenario
     * @param minTargetFraction smallest fraction of the targets that one fault hits, in steps of
     *     0.1
     * @param maxTargetFraction largest fraction of the targets that one fault hits, in steps of 0.1
     * @param maxDurationFraction longest duration of one fault as a fraction of the scenario's
     */
    public record Ranges(
            List<FaultType> faultTypes,
            int maxFaults,
            double minTargetFraction,
            double maxTargetFraction,
            double maxDurationFraction) {
        /**
         * Validates the ranges.
         *
         * @throws IllegalArgumentException if a value is out of range
         */
        public Ranges {
            if (faultTypes.isEmpty()
                    || faultTypes.contains(FaultType.LIMIT)
                    || maxFaults < 1
                    || !(minTargetFraction >= 0.1
                            && minTargetFraction <= maxTargetFraction
                            && maxTargetFraction <= 1)
                    || !(maxDurationFraction > 0 && maxDurationFraction <= 1)) {
                throw new IllegalArgumentException(
                        "expected one or more fault types other than LIMIT, one or more faults,"
                                + " 10% <= least <= most <= 100% of the targets, and a longest duration"
                                + " above 0% and up to 100% of the scenario");
            }
        }

        /**
         * Returns the default ranges: all types, 10% to 80% of the targets, up to half of the
         * scenario's duration.
         *
         * @param maxFaults most faults in one scenario
         */
        public static Ranges defaults(int maxFaults) {
            return new Ranges(FAULT_TYPES, maxFaults, 0.1, 0.8, 0.5);
        }
    }

    private FaultGenerator() {}

    /** Returns the scenario with one or more generated faults in place of its own. */
    public static Scenario generate(Scenario base, long seed, Ranges ranges) {
        SplittableRandom random = new SplittableRandom(seed);
        int count = 1 + random.nextInt(ranges.maxFaults());
        List<Fault> faults = new ArrayList<>();
        long atMicros = 0;
        for (int i = 0; i < count; i++) {
            boolean followsPrevious = i > 0 && random.nextInt(3) == 0;
            atMicros =
                    followsPrevious
                            ? atMicros + 1000 * (1 + random.nextLong(1500))
                            : 1000 * random.nextLong(base.durationMicros() * 8 / 10_000);
            faults.add(drawFault(random, atMicros, ranges, base));
        }
        faults.sort(Comparator.comparingLong(Fault::atMicros));
        return base.withFaults(
                base.name() + "-storm-" + Long.toUnsignedString(seed, 36),
                base.seed() + seed,
                faults);
    }

    private static Fault drawFault(
            SplittableRandom random, long atMicros, Ranges ranges, Scenario base) {
        FaultType type = ranges.faultTypes().get(random.nextInt(ranges.faultTypes().size()));
        int minTenths = (int) Math.round(10 * ranges.minTargetFraction());
        boolean hitsInitiators =
                switch (type) {
                    case KILL, STILL, LEAVE, PARTITION -> true;
                    default -> false;
                };
        Selection selection =
                hitsInitiators
                        ? new Selection(0, 1 + random.nextInt(base.initiators()))
                        : new Selection(
                                (minTenths
                                                + random.nextInt(
                                                        (int)
                                                                        Math.round(
                                                                                10
                                                                                        * ranges
                                                                                                .maxTargetFraction())
                                                                - minTenths
                                                                + 1))
                                        / 10.0,
                                0);
        long durationMicros =
                1000
                        * (500
                                + random.nextLong(
                                        Math.max(
                                                1,
                                                (long)
                                                        (base.durationMicros()
                                                                * ranges.maxDurationFraction()
                                                                / 1000))));
        double magnitude =
                switch (type) {
                    case SLOW, AGE -> 2 + random.nextInt(7);
                    case ERRORS, LOST, HOTKEY, PARTITION -> (1 + random.nextInt(9)) / 10.0;
                    case SURGE -> (2 + random.nextInt(20)) / 10.0;
                    default -> 0;
                };
        long[] range =
                switch (type) {
                    case PAUSES -> new long[] {100_000, 400_000};
                    case LIST_LATE ->
                            new long[] {1_000_000, 1_000_000 + 1000 * random.nextLong(3_000)};
                    default -> new long[] {300_000, 300_000 + 1000 * random.nextLong(1_500)};
                };
        long intervalMicros =
                switch (type) {
                    case PARTITION -> random.nextInt(4);
                    default -> 1000 * (100 + random.nextLong(900));
                };
        if (type == FaultType.CLOCK) {
            durationMicros =
                    (random.nextBoolean() ? 1 : -1) * 1_000_000 * (1 + random.nextLong(30));
        }
        int count = type == FaultType.SURGE ? 1 + random.nextInt(4) : 0;
        return new Fault(
                atMicros,
                0,
                type,
                selection,
                durationMicros,
                magnitude,
                range,
                intervalMicros,
                count,
                300_000,
                "");
    }
}
