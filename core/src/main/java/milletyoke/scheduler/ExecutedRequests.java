package milletyoke.scheduler;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;

/**
 * Remembers the transaction ids of requests that may have been executed, so that a request that
 * comes again with the same id is not executed a second time, however the first one ended. A
 * request that provably never ran leaves nothing behind; idempotent requests are not remembered.
 *
 * <p>An id is kept for {@link ActiveSettings#executionMemoryMicros}. None is dropped earlier to
 * make room: if there is no room for another one, new requests that would need it are rejected
 * before their first attempt. A volume may use half of the room.
 */
final class ExecutedRequests {
    /** The maximum number of ids, including those reserved for pending requests. */
    static final int MAX_IDS = 1 << 15;

    /** The maximum number of ids of one volume. */
    static final int MAX_IDS_PER_VOLUME = MAX_IDS / 2;

    /** A request that may have been executed. */
    private record Execution(
            VolumeState volume, int target, String targetId, long sentAt, long forgetAt) {}

    private final Map<String, Execution> byTransactionId = new LinkedHashMap<>();
    private final TargetTable targets;
    private final ActiveSettings settings;
    private final Turn turn;
    private int reservedCount;

    ExecutedRequests(TargetTable targets, ActiveSettings settings, Turn turn) {
        this.targets = targets;
        this.settings = settings;
        this.turn = turn;
    }

    /**
     * Reserves room for the id of a request that is being admitted.
     *
     * @return false if there is none
     */
    boolean tryReserve(PendingRequest request) {
        if (!isRemembered(request)) {
            return true;
        }
        forgetExpired();
        boolean hasRoom =
                byTransactionId.size() + reservedCount < MAX_IDS
                        && request.volume.executedIdCount < MAX_IDS_PER_VOLUME;
        if (hasRoom) {
            reservedCount++;
            request.volume.executedIdCount++;
            request.hasReservedExecutionId = true;
        }
        return hasRoom;
    }

    /** Applies to a request what is known of an earlier one with the same id. */
    void recall(PendingRequest request) {
        Execution earlier =
                isRemembered(request)
                        ? byTransactionId.get(request.received.transactionId())
                        : null;
        if (earlier == null || turn.now() >= earlier.forgetAt()) {
            return;
        }
        boolean isTargetKnown = earlier.targetId().equals(targets.id[earlier.target()]);
        request.executedOn = earlier.target();
        // Without its target, the deduplication scope is unknown, so its window counts as over.
        request.executedAttemptSentAt = isTargetKnown ? earlier.sentAt() : Long.MIN_VALUE / 2;
    }

    /** Remembers the id of a request that is complete if it may have been executed. */
    void complete(PendingRequest request) {
        if (!request.hasReservedExecutionId) {
            return;
        }
        request.hasReservedExecutionId = false;
        reservedCount--;
        int target = request.executedOn >= 0 ? request.executedOn : request.succeededOn;
        if (target < 0) {
            request.volume.executedIdCount--;
            return;
        }
        long sentAt = request.executedOn >= 0 ? request.executedAttemptSentAt : request.sentAt;
        remember(request, target, sentAt);
    }

    private void remember(PendingRequest request, int target, long sentAt) {
        String transactionId = request.received.transactionId();
        Execution earlier = byTransactionId.remove(transactionId);
        if (earlier != null) {
            earlier.volume().executedIdCount--;
        }
        byTransactionId.put(
                transactionId,
                new Execution(
                        request.volume,
                        target,
                        String.valueOf(targets.id[target]),
                        sentAt,
                        turn.now() + settings.executionMemoryMicros()));
    }

    private static boolean isRemembered(PendingRequest request) {
        return request.received.transactionId() != null
                && request.requestClass.idempotency() != Idempotency.IDEMPOTENT;
    }

    private void forgetExpired() {
        Iterator<Execution> oldestFirst = byTransactionId.values().iterator();
        while (oldestFirst.hasNext()) {
            Execution oldest = oldestFirst.next();
            if (turn.now() < oldest.forgetAt()) {
                return;
            }
            oldest.volume().executedIdCount--;
            oldestFirst.remove();
        }
    }

    /** Returns the number of ids that are remembered. */
    int size() {
        return byTransactionId.size();
    }
}
