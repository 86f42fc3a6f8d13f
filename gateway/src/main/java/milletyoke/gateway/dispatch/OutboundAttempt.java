package milletyoke.gateway.dispatch;

import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.CancelAttempt;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Probe;

/** One attempt or probe from the order to send it to its outcome. Owned by the event loop. */
final class OutboundAttempt {
    final String target;

    /** The request; null for a probe. */
    final String requestId;

    final int attemptNumber;

    /** Identifies it on its connection. */
    final long frameNumber;

    final long orderedAtMicros;

    /** When waiting for its reply ends. */
    final long deadlineMicros;

    /** When waiting for a connection ends. */
    final long connectDeadlineMicros;

    /** What it was sent on; null until it is sent. */
    PooledConnection connection;

    boolean isEnded;

    /** When its reply was received; 0 where none was. */
    long repliedAtMicros;

    /** Null once it is sent or ended. */
    private Frame frame;

    private OutboundAttempt(
            String target,
            String requestId,
            int attemptNumber,
            long frameNumber,
            Frame frame,
            long orderedAtMicros,
            long deadlineMicros,
            long connectDeadlineMicros) {
        this.target = target;
        this.requestId = requestId;
        this.attemptNumber = attemptNumber;
        this.frameNumber = frameNumber;
        this.frame = frame;
        this.orderedAtMicros = orderedAtMicros;
        this.deadlineMicros = deadlineMicros;
        this.connectDeadlineMicros = connectDeadlineMicros;
    }

    static OutboundAttempt ofAttempt(
            String target,
            String requestId,
            int attemptNumber,
            Attempt.Builder attempt,
            long frameNumber,
            long orderedAtMicros,
            long deadlineMicros,
            long connectDeadlineMicros) {
        return new OutboundAttempt(
                target,
                requestId,
                attemptNumber,
                frameNumber,
                Frame.newBuilder().setAttempt(attempt.setNumber(frameNumber)).build(),
                orderedAtMicros,
                deadlineMicros,
                connectDeadlineMicros);
    }

    static OutboundAttempt ofProbe(
            String target,
            long frameNumber,
            long orderedAtMicros,
            long deadlineMicros,
            long connectDeadlineMicros) {
        return new OutboundAttempt(
                target,
                null,
                0,
                frameNumber,
                Frame.newBuilder().setProbe(Probe.newBuilder().setNumber(frameNumber)).build(),
                orderedAtMicros,
                deadlineMicros,
                connectDeadlineMicros);
    }

    /** The frame to send now: it states the time that is left now, not when it was ordered. */
    Frame frameAt(long nowMicros) {
        if (isProbe() || nowMicros == orderedAtMicros) {
            return frame;
        }
        long timeLeftMicros = Math.max(0, deadlineMicros - nowMicros);
        return frame.toBuilder()
                .setAttempt(frame.getAttempt().toBuilder().setTimeLeftMicros(timeLeftMicros))
                .build();
    }

    /** The frame that tells the target that nobody waits for its reply any more. */
    Frame cancelFrame() {
        return Frame.newBuilder()
                .setCancelAttempt(CancelAttempt.newBuilder().setNumber(frameNumber))
                .build();
    }

    void markSent(PooledConnection on) {
        connection = on;
        frame = null;
    }

    void markEnded() {
        isEnded = true;
        frame = null;
    }

    boolean isProbe() {
        return requestId == null;
    }

    boolean isSent() {
        return connection != null;
    }

    /** Microseconds from the order to the reply, or to now where there was none. */
    long latencyMicros(long nowMicros) {
        long endMicros = repliedAtMicros > 0 ? repliedAtMicros : nowMicros;
        return Math.max(0, endMicros - orderedAtMicros);
    }

    /** When it times out, in the state that it is in. */
    long nextDueMicros() {
        return isSent() ? deadlineMicros : Math.min(deadlineMicros, connectDeadlineMicros);
    }

    /**
     * What becomes of it when it times out now: unsent at its deadline it is NOT_STARTED, unsent at
     * its connect deadline NO_CONNECTION.
     */
    Outcome timeoutOutcome(long nowMicros) {
        if (isSent()) {
            return Outcome.TIMED_OUT;
        }
        return nowMicros >= connectDeadlineMicros ? Outcome.NO_CONNECTION : Outcome.NOT_STARTED;
    }
}
