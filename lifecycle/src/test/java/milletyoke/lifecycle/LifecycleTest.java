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
    private final Lifecycle life = new Lifecycle(Lifecycle.Thresholds.DEFAULT);
    private long now = 100 * SECOND;

    private LifecycleState after(long seconds, LifecycleEvent fact) {
        now += seconds * SECOND;
        return life.apply(now, fact);
    }

    @Example
    void takesNothingUntilItKnowsATarget() {
        assertEquals(LifecycleState.STARTING, life.state());
        assertEquals(LifecycleState.STARTING, after(0, new LifecycleEvent.DiscoveryUnavailable()));
        assertEquals(LifecycleState.WITHOUT_LIST, after(10, new LifecycleEvent.Tick()));
        assertEquals(
                LifecycleState.WITHOUT_LIST,
                after(1, new LifecycleEvent.EndpointListReceived(0, false)));
        assertEquals(
                LifecycleState.READY, after(1, new LifecycleEvent.EndpointListReceived(3, false)));
    }

    @Example
    void aRestoredListIsUsedAndToldToBeOld() {
        assertEquals(
                LifecycleState.READY, after(0, new LifecycleEvent.EndpointListReceived(3, true)));
        assertEquals(LifecycleState.LIST_LOST, after(10, new LifecycleEvent.Tick()));
        assertEquals(
                LifecycleState.READY, after(1, new LifecycleEvent.EndpointListReceived(3, false)));
    }

    @Example
    void anEmptyRestoredListIsNone() {
        assertEquals(
                LifecycleState.STARTING,
                after(0, new LifecycleEvent.EndpointListReceived(0, true)));
    }

    @Example
    void losingTheListWhileTargetsAreKnownIsAConditionOfItsOwn() {
        after(0, new LifecycleEvent.EndpointListReceived(3, false));
        assertEquals(LifecycleState.READY, after(1, new LifecycleEvent.DiscoveryUnavailable()));
        assertEquals(LifecycleState.READY, after(9, new LifecycleEvent.DiscoveryUnavailable()));
        assertEquals(LifecycleState.LIST_LOST, after(1, new LifecycleEvent.Tick()));
        assertTrue(life.state().admits());
    }

    @Example
    void saturationHasAGapAndATime() {
        after(0, new LifecycleEvent.EndpointListReceived(3, false));
        assertEquals(
                LifecycleState.SATURATED, after(1, new LifecycleEvent.UtilizationMeasured(0.95)));
        assertEquals(
                LifecycleState.SATURATED, after(0, new LifecycleEvent.UtilizationMeasured(0.1)));
        assertEquals(
                LifecycleState.SATURATED, after(5, new LifecycleEvent.UtilizationMeasured(0.8)));
        assertEquals(LifecycleState.READY, after(1, new LifecycleEvent.UtilizationMeasured(0.5)));
        assertEquals(LifecycleState.READY, after(1, new LifecycleEvent.UtilizationMeasured(0.8)));
    }

    @Example
    void drainIsTakenBackAndLeavingIsNot() {
        after(0, new LifecycleEvent.EndpointListReceived(3, false));
        assertEquals(LifecycleState.DRAINING, after(1, new LifecycleEvent.DrainRequested("ann")));
        assertEquals(LifecycleState.READY, after(1, new LifecycleEvent.DrainCancelled("ann")));
        assertEquals(LifecycleState.LEAVING, after(1, new LifecycleEvent.ShutdownRequested()));
        assertEquals(LifecycleState.LEAVING, after(1, new LifecycleEvent.DrainCancelled("ann")));
        assertEquals("drained by ann", life.transitions().get(1).reason());
    }

    @Provide
    Arbitrary<List<LifecycleEvent>> facts() {
        Arbitrary<LifecycleEvent> any =
                Arbitraries.oneOf(
                        Arbitraries.integers()
                                .between(0, 3)
                                .map(n -> new LifecycleEvent.EndpointListReceived(n, false)),
                        Arbitraries.integers()
                                .between(0, 3)
                                .map(n -> new LifecycleEvent.EndpointListReceived(n, true)),
                        Arbitraries.just(new LifecycleEvent.DiscoveryUnavailable()),
                        Arbitraries.just(new LifecycleEvent.Tick()),
                        Arbitraries.doubles()
                                .between(0, 1)
                                .map(LifecycleEvent.UtilizationMeasured::new),
                        Arbitraries.just(new LifecycleEvent.DrainRequested("x")),
                        Arbitraries.just(new LifecycleEvent.DrainCancelled("x")),
                        Arbitraries.just(new LifecycleEvent.ShutdownRequested()));
        return any.list().ofMaxSize(200);
    }

    /**
     * In any order: leaving is for ever, no access is taken without a target, and each change is
     * remembered in order.
     */
    @Property(tries = 500, seed = "20261201")
    void whatAlwaysHolds(@ForAll("facts") List<LifecycleEvent> facts) {
        Lifecycle any = new Lifecycle(Lifecycle.Thresholds.DEFAULT);
        int usable = 0;
        boolean left = false;
        LifecycleState before = any.state();
        for (LifecycleEvent fact : facts) {
            now += SECOND / 3;
            usable = fact instanceof LifecycleEvent.EndpointListReceived l ? l.usable() : usable;
            left |= fact instanceof LifecycleEvent.ShutdownRequested;
            LifecycleState after = any.apply(now, fact);
            assertTrue(!left || after == LifecycleState.LEAVING);
            assertTrue(usable > 0 || !after.admits());
            if (after != before) {
                var last = any.transitions().get(any.transitions().size() - 1);
                assertEquals(
                        List.of(before, after, now),
                        List.of(last.from(), last.to(), last.atMicros()));
            }
            before = after;
        }
        assertTrue(any.transitions().size() <= 64);
    }
}
