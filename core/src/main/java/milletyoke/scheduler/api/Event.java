package milletyoke.scheduler.api;

import java.util.List;

/** What happened to one initiator. Times are microseconds; an id is given back as it came. */
public sealed interface Event {
    /**
     * The initiator starts, with no memory of an earlier incarnation.
     *
     * @param seed of all random choices
     */
    record Started(long seed, SchedulerSettings settings) implements Event {}

    /**
     * New figures for plans and request classes while requests are pending; the sender has checked
     * that nothing else differs, and that no plan or class is gone.
     */
    record SettingsChanged(SchedulerSettings settings) implements Event {}

    /** An endpoint list, or its absence. */
    record EndpointListReceived(ListScope scope, List<Target> targets) implements Event {}

    /** What an endpoint list covers. */
    enum ListScope {
        /** Only targets that changed. */
        UPDATE,
        /** All targets, by service discovery. */
        REPLACE,
        /** All targets, as stored before this start. */
        RESTORED,
        /** Service discovery gave no list. */
        UNAVAILABLE
    }

    /** One target; {@code startedAtMicros} is 0 where it started long ago. */
    record Target(int shard, String id, String zone, Health health, long startedAtMicros) {}

    /** Whether a target accepts new work. */
    enum Health {
        ACTIVE,
        DRAINING,
        REMOVED
    }

    /**
     * A request is admitted.
     *
     * @param id unique among pending requests
     * @param shard of the object, -1 for a new one
     * @param extent part of the object, which is also the key of key ordering; null for none
     * @param timeLeftMicros until the client gives up
     * @param initiatorCount through how many initiators its volume sends
     * @param units its size
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
            double units)
            implements Event {}

    /** An attempt ended; {@code answered} is set once the client has its final answer. */
    record AttemptEnded(
            String id, int attemptNumber, boolean answered, Outcome outcome, long latencyMicros)
            implements Event {}

    /**
     * A probe ended; {@code queueLength} requests are queued at the target, -1 where it does not
     * say.
     */
    record ProbeEnded(String target, Outcome outcome, long latencyMicros, double queueLength)
            implements Event {}

    /**
     * The request needs no answer any more: its client disconnected, or the first part of the
     * answer has been sent.
     */
    record RequestClosed(String id) implements Event {}

    /** A wake-up that the scheduler asked for. */
    record WakeUp() implements Event {}
}
