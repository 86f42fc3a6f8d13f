package milletyoke.gateway.loop;

import java.util.function.LongSupplier;
import milletyoke.gateway.dispatch.AttemptDispatcher;
import milletyoke.wire.proto.Attempt;

/**
 * Passes the scheduler's actions to the dispatcher, the wake-up timers and discovery. Owned by the
 * event loop.
 */
final class LoopActionSink implements ActionSink {
    private final EventLoop.LoopEnvironment environment;
    private final LongSupplier clock;
    private final AttemptDispatcher dispatcher;
    private final EndpointRegistry registry;
    private final WakeUpTimers wakeUpTimers;

    LoopActionSink(
            EventLoop.LoopEnvironment environment,
            LongSupplier clock,
            AttemptDispatcher dispatcher,
            EndpointRegistry registry,
            WakeUpTimers wakeUpTimers) {
        this.environment = environment;
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.registry = registry;
        this.wakeUpTimers = wakeUpTimers;
    }

    @Override
    public void sendAttempt(
            String target,
            String requestId,
            int attemptNumber,
            long deadlineMicros,
            Attempt.Builder attempt) {
        dispatcher.sendAttempt(
                clock.getAsLong(), target, requestId, attemptNumber, deadlineMicros, attempt);
    }

    @Override
    public void cancelAttempt(String requestId, int attemptNumber) {
        dispatcher.cancelAttempt(clock.getAsLong(), requestId, attemptNumber);
    }

    @Override
    public void dropUnsent(String requestId, int attemptNumber) {
        dispatcher.dropUnsent(clock.getAsLong(), requestId, attemptNumber);
    }

    @Override
    public void sendProbe(String target) {
        dispatcher.sendProbe(clock.getAsLong(), target);
    }

    @Override
    public void scheduleWakeUp(long delayMicros) {
        wakeUpTimers.schedule(delayMicros);
    }

    @Override
    public void watchEndpoints() {
        environment.watchEndpoints(registry.revision());
    }
}
