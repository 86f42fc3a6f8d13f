package milletyoke.gateway.loop;

import java.util.ArrayList;
import java.util.List;
import milletyoke.gateway.status.StatusSnapshot.DecisionRecord;

/** Ring buffer of the scheduler's latest decisions, for the console. Owned by the event loop. */
final class DecisionLog {
    private static final int CAPACITY = 64;

    private final DecisionRecord[] records = new DecisionRecord[CAPACITY];
    private long recordedCount;

    void add(DecisionRecord decision) {
        records[(int) (recordedCount % CAPACITY)] = decision;
        recordedCount++;
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
