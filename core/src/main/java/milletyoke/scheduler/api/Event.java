package milletyoke.scheduler.api;

import java.util.List;

/** What happened to one initiator. Times are microseconds; an id is given back as it came. */
public sealed interface Event {
    /** The initiator starts with no memory of an earlier life. */
    record Started(long seed, SchedulerSettings settings) implements Event {}

    /**
     * New figures for plans and categories while accesses are held; who sends it has seen to it
     * that nothing else differs, and that no plan or category is gone.
     */
    record SettingsChanged(SchedulerSettings settings) implements Event {}

    /** What discovery says of the targets. */
    record EndpointListReceived(ListScope scope, List<Target> targets) implements Event {}

    enum ListScope {
        UPDATE,
        REPLACE,
        RESTORED,
        UNAVAILABLE
    }

    /** One target; {@code startedAtMicros} is 0 where it started long ago. */
    record Target(int shard, String id, String zone, Health health, long startedAtMicros) {}

    enum Health {
        ACTIVE,
        DRAINING,
        REMOVED
    }

    /**
     * An access is taken; {@code shard} is -1 for a new object, {@code extent} null where it has
     * none.
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

    /** How one relay ended; {@code answered} is set once the client has its final answer. */
    record AttemptEnded(
            String id, int attemptNumber, boolean answered, Outcome outcome, long latencyMicros)
            implements Event {}

    /**
     * What a probe found; {@code queueLength} accesses were said to wait at the target, -1 where it
     * does not tell.
     */
    record ProbeEnded(String target, Outcome outcome, long latencyMicros, double queueLength)
            implements Event {}

    /**
     * Nothing more is owed for the access: its client left, or has the answer's first part already.
     */
    record RequestClosed(String id) implements Event {}

    /** A wake-up that was asked for. */
    record WakeUp() implements Event {}
}
