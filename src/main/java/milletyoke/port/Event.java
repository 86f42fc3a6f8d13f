package milletyoke.port;

import java.util.List;

/** What happened to one initiator. Times are microseconds; an id is given back as it came. */
public sealed interface Event {
    /** The initiator starts with no memory of an earlier life. */
    record Start(long seed, Provisioning provisioning) implements Event {}

    /** What discovery says of the targets. */
    record TargetList(Scope scope, List<Target> targets) implements Event {}

    enum Scope { UPDATE, REPLACE, RESTORED, UNAVAILABLE }

    /** One target; {@code launched} is 0 where it started long ago. */
    record Target(int shard, String id, String zone, Health health, long launched, double size) {}

    enum Health { ON, DRAINING, GONE }

    /** An access is taken; {@code shard} is -1 for a new object, {@code extent} null where it has none. */
    record Access(String id, int shard, String extent, String volume, long ttl, String plan, String category,
            int hosts, double units) implements Event {}

    /** How one relay ended; {@code answered} is set once the client has its final answer. */
    record Ended(String id, int relay, boolean answered, Outcome outcome, long lag, String target, double[] load)
            implements Event {}

    /** What a probe found. */
    record Probed(String target, Outcome outcome, long lag, double[] load) implements Event {}

    /** The answer to a relay has begun to flow and now belongs to the client. */
    record Flowing(String id, int relay, String target) implements Event {}

    /** The client left; nothing more is owed. */
    record ClientGone(String id) implements Event {}

    record Alarm(long tag) implements Event {}
}
