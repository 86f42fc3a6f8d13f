package milletyoke.gateway.loop;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import milletyoke.gateway.status.StatusSnapshot.DecisionRecord;
import milletyoke.scheduler.api.Action;

/** Ring buffer of the scheduler's latest decisions, for the console. Owned by the event loop. */
final class DecisionLog {
    private static final int CAPACITY = 64;

    private final DecisionRecord[] records = new DecisionRecord[CAPACITY];
    private long recordedCount;

    /**
     * Records an action, unless it concerns neither a request nor a target.
     *
     * @param volumeOf returns the volume of a request id; null if the request is not known
     */
    void record(long nowMicros, Action action, UnaryOperator<String> volumeOf) {
        String requestId = requestIdOf(action);
        if (requestId == null && !(action instanceof Action.SendProbe)) {
            return;
        }
        String volume = requestId == null ? null : volumeOf.apply(requestId);
        records[(int) (recordedCount % CAPACITY)] = new DecisionRecord(nowMicros, action, volume);
        recordedCount++;
    }

    private static String requestIdOf(Action action) {
        if (action instanceof Action.SendAttempt send) {
            return send.id();
        }
        if (action instanceof Action.Reject reject) {
            return reject.id();
        }
        if (action instanceof Action.Fail fail) {
            return fail.id();
        }
        return action instanceof Action.CancelAttempt cancel ? cancel.id() : null;
    }

    /** Returns the latest decisions, newest first. */
    List<DecisionRecord> newestFirst() {
        List<DecisionRecord> latest = new ArrayList<>();
        for (long i = recordedCount - 1; i >= Math.max(0, recordedCount - CAPACITY); i--) {
            latest.add(records[(int) (i % CAPACITY)]);
        }
        return latest;
    }
}
