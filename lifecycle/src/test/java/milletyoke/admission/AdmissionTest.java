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

/** Random orders of asking and giving back, against a model that only counts. */
class AdmissionTest {
    private static final int PLACES = 24;
    private static final long BYTES = 2_000;
    private static final Admission.CapacityLimits ROOM =
            new Admission.CapacityLimits(PLACES, BYTES, 0.75, 1, 500_000);

    private record Place(int connection, String volume, long bytes) {}

    /** The thing itself and what a plain count says of it. */
    private static final class Both {
        final Admission real = new Admission(ROOM);
        final List<Place> held = new ArrayList<>();

        long bytes() {
            return held.stream().mapToLong(Place::bytes).sum();
        }

        void check() {
            assertEquals(held.size(), real.acquired(), "places leaked or were given back twice");
            assertEquals(bytes(), real.bytes());
            assertTrue(
                    held.size() <= PLACES && bytes() <= BYTES, "a bound of the daemon was passed");
            for (int c = 0; c < 4; c++) {
                int connection = c;
                assertTrue(
                        held.stream().filter(p -> p.connection() == connection).count()
                                <= 0.75 * PLACES);
            }
            assertTrue(
                    real.remembered() <= 2 * held.size(),
                    "something is remembered of who holds nothing");
        }
    }

    @Provide
    Arbitrary<ActionChain<Both>> chains() {
        return ActionChain.startWith(Both::new)
                .withAction(4, new Ask())
                .withAction(2, new GiveBack())
                .withMaxTransformations(200);
    }

    private static final class Ask implements Action.Independent<Both> {
        @Override
        public Arbitrary<Transformer<Both>> transformer() {
            return Arbitraries.integers().between(0, 3).flatMap(Ask::ofConnection);
        }

        private static Arbitrary<Transformer<Both>> ofConnection(int connection) {
            return Arbitraries.of("a", "b", "c", "d", "e")
                    .flatMap(volume -> ofVolume(connection, volume));
        }

        private static Arbitrary<Transformer<Both>> ofVolume(int connection, String volume) {
            return Arbitraries.longs()
                    .between(0, 400)
                    .map(
                            bytes ->
                                    Transformer.mutate(
                                            "ask " + connection + volume + bytes,
                                            both -> ask(both, connection, volume, bytes)));
        }

        private static void ask(Both both, int c, String v, long bytes) {
            long mine = both.held.stream().filter(p -> p.volume().equals(v)).count();
            boolean free =
                    both.held.size() < PLACES
                            && both.bytes() + bytes <= BYTES
                            && both.held.stream().noneMatch(p -> p.connection() == c);
            Admission.Verdict verdict = both.real.tryAcquire(c, v, bytes);
            assertTrue(
                    mine > 0 || !free || verdict.admitted(),
                    "a volume that holds nothing found no place");
            assertTrue(
                    verdict.admitted() == (verdict.retryAfterMicros() == 0)
                            && verdict.retryAfterMicros() <= 500_000);
            if (verdict.admitted()) {
                both.held.add(new Place(c, v, bytes));
            }
            both.check();
        }
    }

    private static final class GiveBack implements Action.Dependent<Both> {
        @Override
        public boolean precondition(Both both) {
            return !both.held.isEmpty();
        }

        @Override
        public Arbitrary<Transformer<Both>> transformer(Both now) {
            return Arbitraries.integers()
                    .between(0, now.held.size() - 1)
                    .map(
                            i ->
                                    Transformer.mutate(
                                            "give back " + i,
                                            both -> {
                                                Place place =
                                                        both.held.remove(i % both.held.size());
                                                both.real.release(
                                                        place.connection(),
                                                        place.volume(),
                                                        place.bytes(),
                                                        1_000);
                                                both.check();
                                            }));
        }
    }

    @Property(tries = 300, seed = "20261201")
    void boundsHoldAndNoPlaceLeaks(@ForAll("chains") ActionChain<Both> chain) {
        chain.run();
    }

    /**
     * However many volumes flood, one that holds nothing finds a place, and its part grows as they
     * go.
     */
    @Property(tries = 100, seed = "20261201")
    void floodsLeaveRoomForOthers(@ForAll @IntRange(min = 1, max = 20) int floods) {
        Admission admission = new Admission(new Admission.CapacityLimits(1000, 1 << 30, 1, 1, 0));
        for (int round = 0; round < 1000; round++) {
            for (int f = 0; f < floods; f++) {
                admission.tryAcquire(f, "flood-" + f, 1);
            }
        }
        int left = 1000 - admission.acquired();
        assertTrue(
                left >= 1000 / (1 + floods) - floods,
                left + " places are left beside " + floods + " floods");
        int quiet = 0;
        while (admission.tryAcquire(99, "quiet", 1).admitted()) {
            quiet++;
        }
        assertTrue(quiet >= left / 2 - 1, "the quiet one got " + quiet + " of " + left);
    }

    @Example
    void aPlaceGivenBackTwiceIsAFault() {
        Admission admission = new Admission(ROOM);
        admission.tryAcquire(1, "a", 10);
        admission.release(1, "a", 10, 5);
        assertThrows(IllegalStateException.class, () -> admission.release(1, "a", 10, 5));
    }
}
