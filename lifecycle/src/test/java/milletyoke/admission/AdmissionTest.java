package milletyoke.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Tests random sequences of acquiring and releasing slots against a model that only counts slots.
 */
class AdmissionTest {
    private static final int SLOTS = 24;
    private static final long BYTES = 2_000;
    private static final Admission.CapacityLimits LIMITS =
            new Admission.CapacityLimits(SLOTS, BYTES, 0.75, 1, 500_000);

    private record Slot(int connection, String volume, long bytes) {}

    /** The admission, and as its model a list of the slots that it granted. */
    private static final class AdmissionAndModel {
        final Admission admission = new Admission(LIMITS);
        final List<Slot> heldSlots = new ArrayList<>();

        long bytes() {
            return heldSlots.stream().mapToLong(Slot::bytes).sum();
        }

        void check() {
            assertEquals(
                    heldSlots.size(), admission.acquired(), "slots leaked or were released twice");
            assertEquals(bytes(), admission.bytes());
            assertTrue(
                    heldSlots.size() <= SLOTS && bytes() <= BYTES,
                    "a limit of the process was exceeded");
            for (int id = 0; id < 4; id++) {
                int connection = id;
                assertTrue(
                        heldSlots.stream().filter(slot -> slot.connection() == connection).count()
                                <= 0.75 * SLOTS);
            }
            assertTrue(
                    admission.trackedHolders() <= 2 * heldSlots.size(),
                    "state is kept for holders without a slot");
        }
    }

    @Provide
    Arbitrary<ActionChain<AdmissionAndModel>> chains() {
        return ActionChain.startWith(AdmissionAndModel::new)
                .withAction(4, new Acquire())
                .withAction(2, new Release())
                .withMaxTransformations(200);
    }

    private static final class Acquire implements Action.Independent<AdmissionAndModel> {
        @Override
        public Arbitrary<Transformer<AdmissionAndModel>> transformer() {
            return Arbitraries.integers().between(0, 3).flatMap(Acquire::ofConnection);
        }

        private static Arbitrary<Transformer<AdmissionAndModel>> ofConnection(int connection) {
            return Arbitraries.of("a", "b", "c", "d", "e")
                    .flatMap(volume -> ofVolume(connection, volume));
        }

        private static Arbitrary<Transformer<AdmissionAndModel>> ofVolume(
                int connection, String volume) {
            return Arbitraries.longs()
                    .between(0, 400)
                    .map(
                            bytes ->
                                    Transformer.mutate(
                                            "acquire " + connection + volume + bytes,
                                            pair -> acquire(pair, connection, volume, bytes)));
        }

        private static void acquire(
                AdmissionAndModel pair, int connection, String volume, long bytes) {
            long volumeSlots =
                    pair.heldSlots.stream().filter(slot -> slot.volume().equals(volume)).count();
            boolean hasCapacity =
                    pair.heldSlots.size() < SLOTS
                            && pair.bytes() + bytes <= BYTES
                            && pair.heldSlots.stream()
                                    .noneMatch(slot -> slot.connection() == connection);
            Admission.Verdict verdict = pair.admission.tryAcquire(connection, volume, bytes);
            assertTrue(
                    volumeSlots > 0 || !hasCapacity || verdict.admitted(),
                    "a volume without slots was rejected despite free capacity");
            assertTrue(
                    verdict.admitted() == (verdict.retryAfterMicros() == 0)
                            && verdict.retryAfterMicros() <= 500_000);
            if (verdict.admitted()) {
                pair.heldSlots.add(new Slot(connection, volume, bytes));
            }
            pair.check();
        }
    }

    private static final class Release implements Action.Dependent<AdmissionAndModel> {
        @Override
        public boolean precondition(AdmissionAndModel pair) {
            return !pair.heldSlots.isEmpty();
        }

        @Override
        public Arbitrary<Transformer<AdmissionAndModel>> transformer(AdmissionAndModel current) {
            return Arbitraries.integers()
                    .between(0, current.heldSlots.size() - 1)
                    .map(
                            index ->
                                    Transformer.mutate(
                                            "release " + index,
                                            pair -> {
                                                Slot slot =
                                                        pair.heldSlots.remove(
                                                                index % pair.heldSlots.size());
                                                pair.admission.release(
                                                        slot.connection(),
                                                        slot.volume(),
                                                        slot.bytes(),
                                                        1_000);
                                                pair.check();
                                            }));
        }
    }

    @Property(tries = 300, seed = "20261201")
    void boundsHoldAndNoSlotLeaks(@ForAll("chains") ActionChain<AdmissionAndModel> chain) {
        chain.run();
    }

    /**
     * However many volumes flood the admission, the share of capacity that their limits leave free
     * is available to a volume that holds no slot.
     */
    @Property(tries = 100, seed = "20261201")
    void floodsLeaveCapacityForOthers(@ForAll @IntRange(min = 1, max = 20) int floods) {
        Admission admission = new Admission(new Admission.CapacityLimits(1000, 1 << 30, 1, 1, 0));
        for (int round = 0; round < 1000; round++) {
            for (int flood = 0; flood < floods; flood++) {
                admission.tryAcquire(flood, "flood-" + flood, 1);
            }
        }
        int freeSlots = 1000 - admission.acquired();
        assertTrue(
                freeSlots >= 1000 / (1 + floods) - floods,
                freeSlots + " slots are free with " + floods + " floods");
        int quietSlots = 0;
        while (admission.tryAcquire(99, "quiet", 1).admitted()) {
            quietSlots++;
        }
        assertTrue(
                quietSlots >= freeSlots / 2 - 1,
                "the quiet volume got " + quietSlots + " of " + freeSlots);
    }

    @Example
    void releasingASlotTwiceThrows() {
        Admission admission = new Admission(LIMITS);
        admission.tryAcquire(1, "a", 10);
        admission.release(1, "a", 10, 5);
        assertThrows(IllegalStateException.class, () -> admission.release(1, "a", 10, 5));
    }
}
