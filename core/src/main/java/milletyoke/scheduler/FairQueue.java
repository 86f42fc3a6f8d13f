package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Shares each shard proportionally among volumes by start-time fair queueing. Flows are served in
 * base batches in order of finish tag; together with each request of a batch, further requests for
 * the same extent (inserts) are sent out of order as long as the extra tags of all flows stay
 * within a margin. The algorithm is from the paper named in docs/design.md.
 */
final class FairQueue {
    private static final TreeSet<PendingRequest> NO_REQUESTS =
            new TreeSet<>(PendingRequest.WITHIN_SHARD);

    private final DispatchQueue dispatchQueue;
    private final Turn turn;
    private final LoadEstimates estimates;
    private final ConcurrencyLimiter limiter;
    private final SendGuard guard;
    private final LoadReports loadReports;
    private final Reservations reservations;
    private final AttemptSender sender;
    private final SchedulerTuning tuning;

    FairQueue(
            DispatchQueue dispatchQueue,
            Turn turn,
            LoadEstimates estimates,
            ConcurrencyLimiter limiter,
            SendGuard guard,
            LoadReports loadReports,
            Reservations reservations,
            AttemptSender sender,
            SchedulerTuning tuning) {
        this.dispatchQueue = dispatchQueue;
        this.turn = turn;
        this.estimates = estimates;
        this.limiter = limiter;
        this.guard = guard;
        this.loadReports = loadReports;
        this.reservations = reservations;
        this.sender = sender;
        this.tuning = tuning;
    }

    /**
     * Queues a request at its shard. The tags of a flow that was empty are raised to those of the
     * other flows.
     */
    void enqueue(PendingRequest request) {
        ShardQueue shardQueue = request.shardQueue;
        FlowQueue flow = dispatchQueue.flow(shardQueue, request.volume, turn.now());
        if (flow.requests.isEmpty()) {
            flow.startTag = Math.max(shardQueue.virtualTime, flow.finishTag);
            if (!shardQueue.byExtraTag.isEmpty()) {
                flow.extraTag = Math.max(flow.extraTag, shardQueue.byExtraTag.first().extraTag);
            }
        }
        dispatchQueue.enqueue(request, flow);
    }

    /**
     * Sends one base batch in order of finish tag, and with each of its requests the inserts that
     * the margin allows; returns false if the batch was empty.
     */
    boolean sendBatch(ShardQueue shardQueue) {
        int slots = limiter.availableSlots(shardQueue);
        int batchSize = Math.min(tuning.baseBatchSize(), (slots + 1) / 2);
        if (batchSize <= 0) {
            return false; // no free slot, or no target for the shard
        }
        List<PendingRequest> batch = takeBatch(shardQueue, batchSize);
        slots -= batch.size();
        for (PendingRequest request : batch) {
            if (!sender.trySend(request, shardQueue.target)) {
                enqueue(request); // the batch used up a rate limit or budget
            }
            PendingRequest insert = takeInsert(shardQueue, request, slots);
            while (insert != null) {
                sender.trySend(insert, shardQueue.target);
                slots--;
                insert = takeInsert(shardQueue, request, slots);
            }
        }
        return !batch.isEmpty();
    }

    private List<PendingRequest> takeBatch(ShardQueue shardQueue, int batchSize) {
        List<PendingRequest> batch = new ArrayList<>();
        FlowQueue flow = leastFinishTag(shardQueue);
        while (batch.size() < batchSize && flow != null) {
            PendingRequest request = firstSendable(shardQueue, flow);
            shardQueue.virtualTime = flow.startTag;
            flow.startTag = flow.finishTag;
            dispatchQueue.dequeue(request);
            batch.add(request);
            flow = leastFinishTag(shardQueue);
        }
        return batch;
    }

    /**
     * Returns the flow with the least finish tag among those below their reservation, or among all
     * if there is none. Protects reservations while many volumes request more than theirs. Shares
     * by weight would be too small if reservations took up the whole shard for long.
     */
    private FlowQueue leastFinishTag(ShardQueue shardQueue) {
        shardQueue.refresh(turn.now());
        while (!shardQueue.belowReservation.isEmpty()) {
            FlowQueue flow = shardQueue.belowReservation.first();
            turn.resetRecheck();
            PendingRequest request = firstSendable(shardQueue, flow);
            if (request != null && reservations.isBelowReservation(request)) {
                return flow;
            }
            shardQueue.park(flow, request != null, turn.recheckAt());
        }
        while (!shardQueue.ready.isEmpty()) {
            FlowQueue flow = shardQueue.ready.first();
            turn.resetRecheck();
            if (firstSendable(shardQueue, flow) != null) {
                return flow;
            }
            shardQueue.park(flow, false, turn.recheckAt());
        }
        return null;
    }

    private PendingRequest firstSendable(ShardQueue shardQueue, FlowQueue flow) {
        int target = shardQueue.target;
        return flow.firstMatching(request -> isSendable(request, target));
    }

    private boolean isSendable(PendingRequest request, int target) {
        return guard.permits(request, target) && loadReports.canJoin(request, target);
    }

    /**
     * Dequeues the next insert for the extent of a request of the batch; returns null if there is
     * none.
     */
    private PendingRequest takeInsert(ShardQueue shardQueue, PendingRequest batched, int slots) {
        String extent = batched.received.extent();
        if (slots <= 0 || extent == null || batched.requestClass.keyOrdered()) {
            return null;
        }
        for (PendingRequest request : shardQueue.byExtent.getOrDefault(extent, NO_REQUESTS)) {
            FlowQueue flow = request.flow;
            if (isSendable(request, shardQueue.target)
                    && isWithinMargin(shardQueue, flow, flow.tagStep(request))) {
                shardQueue.removeFromOrders(flow);
                flow.extraTag += flow.tagStep(request);
                dispatchQueue.dequeue(request);
                return request;
            }
        }
        return null;
    }

    /**
     * Returns whether the extra tags of the queued flows stay within the margin if the tag of
     * {@code flow} advances by {@code step}.
     */
    private boolean isWithinMargin(ShardQueue shardQueue, FlowQueue flow, double step) {
        return shardQueue.extraTagGap(flow, step)
                <= tuning.marginSteps() * estimates.meanUnits() / shardQueue.minimumWeight();
    }
}
