package milletyoke.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** What a daemon is after any order of facts. */
class LifecycleTest {
    private static final long SECOND = 1_000_000;
    private final Lifecycle life = new Lifecycle(Lifecycle.Marks.USUAL);
    private long now = 100 * SECOND;

    private Condition after(long seconds, Fact fact) {
        now += seconds * SECOND;
        return life.tell(now, fact);
    }

    @Example
    void takesNothingUntilItKnowsATarget() {
        assertEquals(Condition.STARTING, life.condition());
        assertEquals(Condition.STARTING, after(0, new Fact.ListUnavailable()));
        assertEquals(Condition.WITHOUT_LIST, after(10, new Fact.Tick()));
        assertEquals(Condition.WITHOUT_LIST, after(1, new Fact.Listed(0, false)));
        assertEquals(Condition.READY, after(1, new Fact.Listed(3, false)));
    }

    @Example
    void aRestoredListIsUsedAndToldToBeOld() {
        assertEquals(Condition.READY, after(0, new Fact.Listed(3, true)));
        assertEquals(Condition.LIST_LOST, after(10, new Fact.Tick()));
        assertEquals(Condition.READY, after(1, new Fact.Listed(3, false)));
    }

    @Example
    void anEmptyRestoredListIsNone() {
        assertEquals(Condition.STARTING, after(0, new Fact.Listed(0, true)));
    }

    @Example
    void losingTheListWhileTargetsAreKnownIsAConditionOfItsOwn() {
        after(0, new Fact.Listed(3, false));
        assertEquals(Condition.READY, after(1, new Fact.ListUnavailable()));
        assertEquals(Condition.READY, after(9, new Fact.ListUnavailable()));
        assertEquals(Condition.LIST_LOST, after(1, new Fact.Tick()));
        assertTrue(life.condition().admits());
    }

    @Example
    void saturationHasAGapAndATime() {
        after(0, new Fact.Listed(3, false));
        assertEquals(Condition.SATURATED, after(1, new Fact.Used(0.95)));
        assertEquals(Condition.SATURATED, after(0, new Fact.Used(0.1)));
        assertEquals(Condition.SATURATED, after(5, new Fact.Used(0.8)));
        assertEquals(Condition.READY, after(1, new Fact.Used(0.5)));
        assertEquals(Condition.READY, after(1, new Fact.Used(0.8)));
    }

    @Example
    void drainIsTakenBackAndLeavingIsNot() {
        after(0, new Fact.Listed(3, false));
        assertEquals(Condition.DRAINING, after(1, new Fact.Drain("ann")));
        assertEquals(Condition.READY, after(1, new Fact.Undrain("ann")));
        assertEquals(Condition.LEAVING, after(1, new Fact.Leave()));
        assertEquals(Condition.LEAVING, after(1, new Fact.Undrain("ann")));
        assertEquals("drained by ann", life.past().get(1).why());
    }

    @Provide
    Arbitrary<List<Fact>> facts() {
        Arbitrary<Fact> any =
                Arbitraries.oneOf(
                        Arbitraries.integers().between(0, 3).map(n -> new Fact.Listed(n, false)),
                        Arbitraries.integers().between(0, 3).map(n -> new Fact.Listed(n, true)),
                        Arbitraries.just(new Fact.ListUnavailable()),
                        Arbitraries.just(new Fact.Tick()),
                        Arbitraries.doubles().between(0, 1).map(Fact.Used::new),
                        Arbitraries.just(new Fact.Drain("x")),
                        Arbitraries.just(new Fact.Undrain("x")),
                        Arbitraries.just(new Fact.Leave()));
        return any.list().ofMaxSize(200);
    }

    /**
     * In any order: leaving is for ever, no access is taken without a target, and each change is
     * remembered in order.
     */
    @Property(tries = 500, seed = "20261201")
    void whatAlwaysHolds(@ForAll("facts") List<Fact> facts) {
        Lifecycle any = new Lifecycle(Lifecycle.Marks.USUAL);
        int usable = 0;
        boolean left = false;
        Condition before = any.condition();
        for (Fact fact : facts) {
            now += SECOND / 3;
            usable = fact instanceof Fact.Listed l ? l.usable() : usable;
            left |= fact instanceof Fact.Leave;
            Condition after = any.tell(now, fact);
            assertTrue(!left || after == Condition.LEAVING);
            assertTrue(usable > 0 || !after.admits());
            if (after != before) {
                var last = any.past().get(any.past().size() - 1);
                assertEquals(
                        List.of(before, after, now), List.of(last.from(), last.to(), last.at()));
            }
            before = after;
        }
        assertTrue(any.past().size() <= 64);
    }
}
