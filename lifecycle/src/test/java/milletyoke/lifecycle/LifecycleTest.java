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

/** Tests the lifecycle state after sequences of events. */
class LifecycleTest {
    private static final long SECOND_MICROS = 1_000_000;
    private final Lifecycle lifecycle = new Lifecycle(Lifecycle.Thresholds.DEFAULT);
    private long nowMicros = 100 * SECOND_MICROS;

    private LifecycleState after(long seconds, LifecycleEvent event) {
        nowMicros += seconds * SECOND_MICROS;
        return lifecycle.apply(nowMicros, event);
    }

    @Example
    void admitsNothingUntilATargetIsKnown() {
        assertEquals(LifecycleState.STARTING, lifecycle.state());
        assertEquals(LifecycleState.STARTING, after(0, new LifecycleEvent.DiscoveryUnavailable()));
        assertEquals(LifecycleState.WITHOUT_LIST, after(10, new LifecycleEvent.Tick()));
        assertEquals(
                LifecycleState.WITHOUT_LIST,
                after(1, new LifecycleEvent.EndpointListReceived(0, false)));
        assertEquals(
                LifecycleState.READY, after(1, new LifecycleEvent.EndpointListReceived(3, false)));
    }

    @Example
    void restoredListIsUsedUntilItCountsAsLost() {
        assertEquals(
                LifecycleState.READY, after(0, new LifecycleEvent.EndpointListReceived(3, true)));
        assertEquals(LifecycleState.LIST_LOST, after(10, new LifecycleEvent.Tick()));
        assertEquals(
                LifecycleState.READY, after(1, new LifecycleEvent.EndpointListReceived(3, false)));
    }

    @Example
    void emptyRestoredListCountsAsNone() {
        assertEquals(
                LifecycleState.STARTING,
                after(0, new LifecycleEvent.EndpointListReceived(0, true)));
    }

    @Example
    void lostListWithKnownTargetsIsAStateOfItsOwn() {
        after(0, new LifecycleEvent.EndpointListReceived(3, false));
        assertEquals(LifecycleState.READY, after(1, new LifecycleEvent.DiscoveryUnavailable()));
        assertEquals(LifecycleState.READY, after(9, new LifecycleEvent.DiscoveryUnavailable()));
        assertEquals(LifecycleState.LIST_LOST, after(1, new LifecycleEvent.Tick()));
        assertTrue(lifecycle.state().admits());
    }

    @Example
    void saturationHasHysteresisAndAMinimumTime() {
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
    void drainCanBeCancelledAndShutdownCannot() {
        after(0, new LifecycleEvent.EndpointListReceived(3, false));
        assertEquals(LifecycleState.DRAINING, after(1, new LifecycleEvent.DrainRequested("ann")));
        assertEquals(LifecycleState.READY, after(1, new LifecycleEvent.DrainCancelled("ann")));
        assertEquals(LifecycleState.LEAVING, after(1, new LifecycleEvent.ShutdownRequested()));
        assertEquals(LifecycleState.LEAVING, after(1, new LifecycleEvent.DrainCancelled("ann")));
        assertEquals("drained by ann", lifecycle.transitions().get(1).reason());
    }

    @Provide
    Arbitrary<List<LifecycleEvent>> events() {
        Arbitrary<LifecycleEvent> event =
                Arbitraries.oneOf(
                        Arbitraries.integers()
                                .between(0, 3)
                                .map(
                                        usable ->
                                                new LifecycleEvent.EndpointListReceived(
                                                        usable, false)),
                        Arbitraries.integers()
                                .between(0, 3)
                                .map(
                                        usable ->
                                                new LifecycleEvent.EndpointListReceived(
                                                        usable, true)),
                        Arbitraries.just(new LifecycleEvent.DiscoveryUnavailable()),
                        Arbitraries.just(new LifecycleEvent.Tick()),
                        Arbitraries.doubles()
                                .between(0, 1)
                                .map(LifecycleEvent.UtilizationMeasured::new),
                        Arbitraries.just(new LifecycleEvent.DrainRequested("x")),
                        Arbitraries.just(new LifecycleEvent.DrainCancelled("x")),
                        Arbitraries.just(new LifecycleEvent.ShutdownRequested()));
        return event.list().ofMaxSize(200);
    }

    /**
     * After events in any order: shutdown is final, no request is admitted without a usable target,
     * and the latest transition is recorded last.
     */
    @Property(tries = 500, seed = "20261201")
    void invariantsHoldInAnyOrderOfEvents(@ForAll("events") List<LifecycleEvent> events) {
        Lifecycle process = new Lifecycle(Lifecycle.Thresholds.DEFAULT);
        int usableTargets = 0;
        boolean isShuttingDown = false;
        LifecycleState before = process.state();
        for (LifecycleEvent event : events) {
            nowMicros += SECOND_MICROS / 3;
            usableTargets =
                    event instanceof LifecycleEvent.EndpointListReceived list
                            ? list.usableTargets()
                            : usableTargets;
            isShuttingDown |= event instanceof LifecycleEvent.ShutdownRequested;
            LifecycleState after = process.apply(nowMicros, event);
            assertTrue(!isShuttingDown || after == LifecycleState.LEAVING);
            assertTrue(usableTargets > 0 || !after.admits());
            if (after != before) {
                var last = process.transitions().get(process.transitions().size() - 1);
                assertEquals(
                        List.of(before, after, nowMicros),
                        List.of(last.from(), last.to(), last.atMicros()));
            }
            before = after;
        }
        assertTrue(process.transitions().size() <= 64);
    }
}
