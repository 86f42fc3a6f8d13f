package milletyoke.gateway.dispatch;

import milletyoke.wire.proto.Frame;

/** One relay or probe from the order to send it to its outcome. Owned by the loop. */
final class OutboundAttempt {
    final String target;

    /** The access and its relay; null for a probe. */
    final String id;

    final int attempt;
    final long orderedAt;
    final long giveUpAt;

    /** When waiting for a connection ends. */
    final long connectBy;

    Frame frame;
    AttemptDispatcher.Conn conn;
    long number;
    boolean over;

    /** When its reply came, on the loop's clock; 0 where none did. */
    long endedAt;

    OutboundAttempt(
            String target, String id, int attempt, long orderedAt, long giveUpAt, long connectBy) {
        this.target = target;
        this.id = id;
        this.attempt = attempt;
        this.orderedAt = orderedAt;
        this.giveUpAt = giveUpAt;
        this.connectBy = connectBy;
    }

    /**
     * What is sent now: a relay that waited for its connection tells what is left of its time, not
     * what was.
     */
    Frame frameAt(long now) {
        if (isProbe() || now == orderedAt) {
            return frame;
        }
        return frame.toBuilder()
                .setAttempt(
                        frame.getAttempt().toBuilder()
                                .setTimeLeftMicros(Math.max(0, giveUpAt - now)))
                .build();
    }

    boolean isProbe() {
        return id == null;
    }

    boolean sent() {
        return conn != null;
    }

    /** When the loop must look at it next. */
    long due() {
        return sent() ? giveUpAt : Math.min(giveUpAt, connectBy);
    }
}
