package milletyoke.port;

import java.util.List;

/** What happened to one initiator. Times are microseconds; an id is given back as it came. */
public sealed interface Event {
    /** The initiator starts with no memory of an earlier life. */
    record Start(long seed, Provisioning provisioning) implements Event {}

    /**
     * New figures for plans and categories while accesses are held; who sends it has seen to it
     * that nothing else differs, and that no plan or category is gone.
     */
    record Reprovisioned(Provisioning provisioning) implements Event {}

    /** What discovery says of the targets. */
    record TargetList(Scope scope, List<Target> targets) implements Event {}

    enum Scope {
        UPDATE,
        REPLACE,
        RESTORED,
        UNAVAILABLE
    }

    /** One target; {@code launched} is 0 where it started long ago. */
    record Target(int shard, String id, String zone, Health health, long launched) {}

    enum Health {
        ON,
        DRAINING,
        GONE
    }

    /**
     * An access is taken; {@code shard} is -1 for a new object, {@code extent} null where it has
     * none.
     */
    record Access(
            String id,
            int shard,
            String extent,
            String volume,
            long ttl,
            String plan,
            String category,
            int hosts,
            double units)
            implements Event {}

    /** How one relay ended; {@code answered} is set once the client has its final answer. */
    record Ended(String id, int relay, boolean answered, Outcome outcome, long lag)
            implements Event {}

    /**
     * What a probe found; {@code waiting} accesses were said to wait at the target, -1 where it
     * does not tell.
     */
    record Probed(String target, Outcome outcome, long lag, double waiting) implements Event {}

    /**
     * Nothing more is owed for the access: its client left, or has the answer's first part already.
     */
    record Over(String id) implements Event {}

    /** A wake-up that was asked for. */
    record Alarm() implements Event {}
}
