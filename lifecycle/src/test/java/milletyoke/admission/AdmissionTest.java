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

/** Random orders of acquiring and releasing slots, against a model that only counts. */
class AdmissionTest {
    private static final int SLOTS = 24;
    private static final long BYTES = 2_000;
    private static final Admission.CapacityLimits LIMITS =
            new Admission.CapacityLimits(SLOTS, BYTES, 0.75, 1, 500_000);

    private record Slot(int connection, String volume, long bytes) {}

    /** The admission and a plain list of the slots that it granted. */
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
                    "a bound of the process was exceeded");
            for (int c = 0; c < 4; c++) {
                int connection = c;
                assertTrue(
                        heldSlots.stream().filter(p -> p.connection() == connection).count()
                                <= 0.75 * SLOTS);
            }
            assertTrue(
                    admission.remembered() <= 2 * heldSlots.size(),
                    "memory is kept for what holds no slot");
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

        private static void acquire(AdmissionAndModel pair, int c, String v, long bytes) {
            long mine = pair.heldSlots.stream().filter(p -> p.volume().equals(v)).count();
            boolean free =
                    pair.heldSlots.size() < SLOTS
                            && pair.bytes() + bytes <= BYTES
                            && pair.heldSlots.stream().noneMatch(p -> p.connection() == c);
            Admission.Verdict verdict = pair.admission.tryAcquire(c, v, bytes);
            assertTrue(
                    mine > 0 || !free || verdict.admitted(),
                    "a volume that holds nothing found no slot");
            assertTrue(
                    verdict.admitted() == (verdict.retryAfterMicros() == 0)
                            && verdict.retryAfterMicros() <= 500_000);
            if (verdict.admitted()) {
                pair.heldSlots.add(new Slot(c, v, bytes));
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
        public Arbitrary<Transformer<AdmissionAndModel>> transformer(AdmissionAndModel now) {
            return Arbitraries.integers()
                    .between(0, now.heldSlots.size() - 1)
                    .map(
                            i ->
                                    Transformer.mutate(
                                            "release " + i,
                                            pair -> {
                                                Slot slot =
                                                        pair.heldSlots.remove(
                                                                i % pair.heldSlots.size());
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
     * However many volumes flood, one that holds nothing finds a slot, and its share grows as they
     * release theirs.
     */
    @Property(tries = 100, seed = "20261201")
    void floodsLeaveCapacityForOthers(@ForAll @IntRange(min = 1, max = 20) int floods) {
        Admission admission = new Admission(new Admission.CapacityLimits(1000, 1 << 30, 1, 1, 0));
        for (int round = 0; round < 1000; round++) {
            for (int f = 0; f < floods; f++) {
                admission.tryAcquire(f, "flood-" + f, 1);
            }
        }
        int left = 1000 - admission.acquired();
        assertTrue(
                left >= 1000 / (1 + floods) - floods,
                left + " slots are left beside " + floods + " floods");
        int quiet = 0;
        while (admission.tryAcquire(99, "quiet", 1).admitted()) {
            quiet++;
        }
        assertTrue(quiet >= left / 2 - 1, "the quiet volume got " + quiet + " of " + left);
    }

    @Example
    void releasingASlotTwiceThrows() {
        Admission admission = new Admission(LIMITS);
        admission.tryAcquire(1, "a", 10);
        admission.release(1, "a", 10, 5);
        assertThrows(IllegalStateException.class, () -> admission.release(1, "a", 10, 5));
    }
}
