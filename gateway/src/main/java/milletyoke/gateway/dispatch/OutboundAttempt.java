package milletyoke.gateway.dispatch;

import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.CancelAttempt;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Probe;

/** State of one attempt or probe from its order to its outcome. Owned by the event loop. */
final class OutboundAttempt {
    final String target;

    /** Id of the request; null for a probe. */
    final String requestId;

    final int attemptNumber;

    /** Identifies the attempt or probe on its connection. */
    final long frameNumber;

    final long orderedAtMicros;

    /** When the attempt or probe times out. */
    final long deadlineMicros;

    /** When the wait for a connection times out. */
    final long connectDeadlineMicros;

    /** The connection that it was sent on; null until then. */
    PooledConnection connection;

    boolean isEnded;

    /** The due time by which it is queued; changed by {@link AttemptTimeouts} alone. */
    long queuedDueMicros;

    /** When the reply was received; 0 if there is none. */
    long repliedAtMicros;

    /** Null once sent or ended. */
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

    /** Returns the frame to send at the given time, with the time left updated. */
    Frame frameAt(long nowMicros) {
        if (isProbe() || nowMicros == orderedAtMicros) {
            return frame;
        }
        long timeLeftMicros = Math.max(0, deadlineMicros - nowMicros);
        return frame.toBuilder()
                .setAttempt(frame.getAttempt().toBuilder().setTimeLeftMicros(timeLeftMicros))
                .build();
    }

    /** Returns the frame that cancels the attempt at its target. */
    Frame cancelFrame() {
        return Frame.newBuilder()
                .setCancelAttempt(CancelAttempt.newBuilder().setNumber(frameNumber))
                .build();
    }

    void markSent(PooledConnection usedConnection) {
        connection = usedConnection;
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

    /** Returns the time from the order to the reply, or until now if there is none. */
    long latencyMicros(long nowMicros) {
        long endMicros = repliedAtMicros > 0 ? repliedAtMicros : nowMicros;
        return Math.max(0, endMicros - orderedAtMicros);
    }

    /**
     * Returns when it times out: at its deadline, or before at its connect deadline if not sent.
     */
    long nextDueMicros() {
        return isSent() ? deadlineMicros : Math.min(deadlineMicros, connectDeadlineMicros);
    }

    /**
     * Returns its outcome if it times out now: TIMED_OUT if sent, otherwise NO_CONNECTION at the
     * connect deadline and NOT_STARTED at the deadline.
     */
    Outcome timeoutOutcome(long nowMicros) {
        if (isSent()) {
            return Outcome.TIMED_OUT;
        }
        return nowMicros >= connectDeadlineMicros ? Outcome.NO_CONNECTION : Outcome.NOT_STARTED;
    }
}
