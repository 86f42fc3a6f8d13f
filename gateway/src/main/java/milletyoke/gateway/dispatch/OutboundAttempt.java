package milletyoke.gateway.dispatch;

import milletyoke.wire.proto.Frame;

/** One relay or probe from the order to send it to its outcome. Owned by the loop. */
final class OutboundAttempt {
    final String target;

    /** The access and its relay; null for a probe. */
    final String requestId;

    final int attemptNumber;
    final long orderedAtMicros;
    final long deadlineMicros;

    /** When waiting for a connection ends. */
    final long connectDeadlineMicros;

    Frame frame;
    AttemptDispatcher.Conn connection;
    long frameNumber;
    boolean isEnded;

    /** When its reply came, on the loop's clock; 0 where none did. */
    long repliedAtMicros;

    OutboundAttempt(
            String target, String id, int attempt, long orderedAt, long giveUpAt, long connectBy) {
        this.target = target;
        this.requestId = id;
        this.attemptNumber = attempt;
        this.orderedAtMicros = orderedAt;
        this.deadlineMicros = giveUpAt;
        this.connectDeadlineMicros = connectBy;
    }

    /**
     * What is sent now: a relay that waited for its connection tells what is left of its time, not
     * what was.
     */
    Frame frameAt(long now) {
        if (isProbe() || now == orderedAtMicros) {
            return frame;
        }
        return frame.toBuilder()
                .setAttempt(
                        frame.getAttempt().toBuilder()
                                .setTimeLeftMicros(Math.max(0, deadlineMicros - now)))
                .build();
    }

    boolean isProbe() {
        return requestId == null;
    }

    boolean isSent() {
        return connection != null;
    }

    /** When the loop must look at it next. */
    long nextDueMicros() {
        return isSent() ? deadlineMicros : Math.min(deadlineMicros, connectDeadlineMicros);
    }
}
