package milletyoke.gateway;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import milletyoke.gateway.ingress.ClientListener;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.loop.LoopMessage;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.Network;

/**
 * Ends the service of one initiator: requests are no longer admitted, those pending get time to be
 * resolved, those that are left get their final response, and clients get time to close.
 */
final class ShutdownSequence {
    /** How long to wait for the final responses of the requests that are left at the timeout. */
    private static final long END_REQUESTS_MILLIS = 1_000;

    /** How long to wait for clients to close after the event loop has ended. */
    private static final long CLIENT_CLOSE_TIMEOUT_MILLIS = 1_000;

    private static final long POLL_MILLIS = 5;
    private static final long MICROS_PER_MILLI = 1_000;

    private final ExecutionEnvironment execution;
    private final ScheduledExecutorService sideExecutor;
    private final EventLoop eventLoop;
    private final ClientListener clientListener;
    private final Network.Listener listener;

    ShutdownSequence(
            ExecutionEnvironment execution,
            ScheduledExecutorService sideExecutor,
            EventLoop eventLoop,
            ClientListener clientListener,
            Network.Listener listener) {
        this.execution = execution;
        this.sideExecutor = sideExecutor;
        this.eventLoop = eventLoop;
        this.clientListener = clientListener;
        this.listener = listener;
    }

    /** Runs on the calling thread; returns whether all requests were resolved in time. */
    boolean run(long millis) throws InterruptedException {
        stopAdmitting();
        boolean isClean = eventLoop.awaitEnd(millis);
        if (!isClean) {
            eventLoop.post(new LoopMessage.EndRequests());
            eventLoop.awaitEnd(END_REQUESTS_MILLIS);
        }
        clientListener.awaitClientsClosed(CLIENT_CLOSE_TIMEOUT_MILLIS);
        return isClean;
    }

    /**
     * Returns at once, and polls on the side thread.
     *
     * @param onEnd called at the end with what {@link #run} would return
     */
    void begin(long millis, Consumer<Boolean> onEnd) {
        stopAdmitting();
        pollUntil(eventLoop::hasEnded, millis, isClean -> afterRequests(isClean, onEnd));
    }

    private void stopAdmitting() {
        clientListener.beginShutdown();
        listener.stop();
        eventLoop.post(new LoopMessage.BeginShutdown());
    }

    private void afterRequests(boolean isClean, Consumer<Boolean> onEnd) {
        if (isClean) {
            awaitClients(true, onEnd);
            return;
        }
        eventLoop.post(new LoopMessage.EndRequests());
        pollUntil(eventLoop::hasEnded, END_REQUESTS_MILLIS, hasEnded -> awaitClients(false, onEnd));
    }

    private void awaitClients(boolean isClean, Consumer<Boolean> onEnd) {
        pollUntil(
                () -> !clientListener.hasClientsToClose(),
                CLIENT_CLOSE_TIMEOUT_MILLIS,
                haveClosed -> onEnd.accept(isClean));
    }

    private void pollUntil(Condition condition, long millis, Consumer<Boolean> onEnd) {
        poll(condition, execution.monotonicMicros() + millis * MICROS_PER_MILLI, onEnd);
    }

    private void poll(Condition condition, long untilMicros, Consumer<Boolean> onEnd) {
        boolean holds = condition.holds();
        if (holds || execution.monotonicMicros() >= untilMicros) {
            onEnd.accept(holds);
            return;
        }
        var unused =
                sideExecutor.schedule(
                        () -> poll(condition, untilMicros, onEnd),
                        POLL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** A condition that is polled. */
    private interface Condition {
        boolean holds();
    }
}
