package milletyoke.standins;

/**
 * One request of a client, the same for all of its attempts. Times are microseconds on the
 * monotonic clock.
 *
 * @param shard that holds the data, -1 for a new object
 * @param serverIndex the link that its attempts are sent on
 * @param dueMicros when its first attempt was due to be sent
 * @param deadlineMicros when its client stops waiting
 * @param isCancelledEarly its client leaves after a part of its time, if the first attempt is still
 *     unanswered then
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
