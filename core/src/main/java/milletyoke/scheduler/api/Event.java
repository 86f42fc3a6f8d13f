package milletyoke.scheduler.api;

import java.util.List;

/** An event at one initiator. Times are microseconds; ids are returned as received. */
public sealed interface Event {
    /**
     * The initiator starts, without any state of an earlier incarnation.
     *
     * @param seed of all random choices
     */
    record Started(long seed, SchedulerSettings settings) implements Event {}

    /**
     * Plans and request classes changed while requests may be pending. The sender has checked that
     * nothing else differs and that no plan or class was removed.
     */
    record SettingsChanged(SchedulerSettings settings) implements Event {}

    /** An endpoint list was received, or its absence was noticed. */
    record EndpointListReceived(ListScope scope, List<Target> targets) implements Event {}

    /** What an endpoint list covers. */
    enum ListScope {
        /** Only targets that changed. */
        UPDATE,
        /** All targets, as listed by service discovery. */
        REPLACE,
        /** All targets, as stored before this start. */
        RESTORED,
        /** Service discovery sent no list. */
        UNAVAILABLE
    }

    /** A listed target; {@code startedAtMicros} is 0 if it started long ago. */
    record Target(int shard, String id, String zone, Health health, long startedAtMicros) {}

    /** Whether a target accepts new work. */
    enum Health {
        ACTIVE,
        DRAINING,
        REMOVED
    }

    /**
     * A request was received for admission.
     *
     * @param id unique among pending requests
     * @param shard of the object, -1 for a new object
     * @param extent part of the object, which is also the key for key ordering; null for none
     * @param timeLeftMicros time until the client gives up
     * @param initiatorCount number of initiators through which the volume sends
     * @param units size of the request
     * @param transactionId the client's id of the request, under which it may come again; null for
     *     none
     */
    record RequestReceived(
            String id,
            int shard,
            String extent,
            String volume,
            long timeLeftMicros,
            String plan,
            String requestClass,
            int initiatorCount,
            double units,
            String transactionId)
            implements Event {
        /** Creates the event of a request that cannot be recognized if it comes again. */
        public RequestReceived(
                String id,
                int shard,
                String extent,
                String volume,
                long timeLeftMicros,
                String plan,
                String requestClass,
                int initiatorCount,
                double units) {
            this(
                    id,
                    shard,
                    extent,
                    volume,
                    timeLeftMicros,
                    plan,
                    requestClass,
                    initiatorCount,
                    units,
                    null);
        }
    }

    /**
     * The last byte of the attempt in flight was handed to the connection to its target. Precedes
     * the end of the attempt; may be left out if the attempt ends first. May be delivered with any
     * later events: {@code writtenAtMicros} says when it happened.
     */
    record AttemptWritten(String id, long writtenAtMicros) implements Event {}

    /** An attempt ended; {@code answered} is true if the client already has its final response. */
    record AttemptEnded(
            String id, int attemptNumber, boolean answered, Outcome outcome, long latencyMicros)
            implements Event {}

    /**
     * A probe ended; {@code queueLength} is the number of requests queued at the target, -1 if the
     * target does not report it.
     */
    record ProbeEnded(String target, Outcome outcome, long latencyMicros, double queueLength)
            implements Event {}

    /**
     * A request needs no further response: its client disconnected, or the first part of the
     * response was sent.
     */
    record RequestClosed(String id) implements Event {}

    /** The process ends: every pending request must get its final response in this turn. */
    record ShutdownDeadlineReached() implements Event {}

    /** A wake-up that the scheduler requested. */
    record WakeUp() implements Event {}
}
