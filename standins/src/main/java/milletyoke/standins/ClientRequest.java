package milletyoke.standins;

/**
 * One request of a client, shared by all its attempts. Times are microseconds on the monotonic
 * clock.
 *
 * @param shard the shard that stores the data, -1 for a new object
 * @param serverIndex index of the link that attempts are sent on
 * @param dueMicros when the first attempt was due to be sent
 * @param deadlineMicros the deadline, after which no attempt is sent
 * @param isCancelledEarly whether the client cancels the first attempt if it is unanswered some
 *     time before the deadline
 */
record ClientRequest(
        LoadProfile.RequestClass requestClass,
        LoadProfile.Volume volume,
        int shard,
        String extent,
        double units,
        String idempotencyKey,
        int serverIndex,
        long dueMicros,
        long deadlineMicros,
        boolean isCancelledEarly) {}
