package milletyoke;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads what {@link Decide} believes, for people; decides nothing and changes nothing. To be called
 * by the thread that owns the module, between two of its turns. Times are microseconds.
 */
public final class Look {
    private Look() {}

    /**
     * What is believed of one target.
     *
     * @param usable it may be sent to, as the list has it
     * @param launched when it started, 0 for long ago
     * @param out relays out
     * @param lag of its answers, smoothed; 0 for unknown
     * @param silentSince owes answers and gave none: the next trial's time, 0 where it is not
     *     silent
     * @param resting what does not fit is kept back from it for now
     * @param crowd what is said to wait there, as time; meaningful while {@code told}
     */
    public record TargetLook(
            String id,
            String zone,
            int shard,
            boolean usable,
            long launched,
            boolean cold,
            int out,
            double window,
            double lag,
            long silentSince,
            boolean resting,
            boolean told,
            double crowd) {}

    /**
     * One shard: the target that holds it (null for none), accesses waiting here for it, and of how
     * many volumes.
     */
    public record NodeLook(int shard, String target, int waiting, int volumes) {}

    /**
     * What is left of one volume's stores.
     *
     * @param limit units left now of this host's part of its limit, -1 where it has none; a store
     *     is filled by time, so what it held at its last use would say "at its limit" long after it
     *     is not
     * @param reserve units owed of its reserve, as of its last use
     * @param waiting accesses waiting here, at all shards
     */
    public record VolumeLook(double limit, double reserve, int waiting) {}

    public static List<TargetLook> targets(Decide d) {
        List<TargetLook> all = new ArrayList<>(d.targets.count);
        for (int t = 0; t < d.targets.count; t++) {
            var x = d.targets;
            if (x.id[t] == null) {
                continue;
            }
            all.add(
                    new TargetLook(
                            x.id[t],
                            x.zone[t],
                            x.shardOf[t],
                            x.usable[t],
                            x.launched[t],
                            d.isCold(t),
                            x.out[t],
                            x.window[t],
                            x.lag[t],
                            x.nextTrial[t],
                            d.isTold(t) && x.rest[t] > 0,
                            d.isTold(t),
                            x.crowd[t]));
        }
        return all;
    }

    public static List<NodeLook> nodes(Decide d) {
        List<NodeLook> all = new ArrayList<>(d.agenda.byShard().size());
        for (Map.Entry<Integer, State.Node> entry : d.agenda.byShard().entrySet()) {
            State.Node n = entry.getValue();
            all.add(
                    new NodeLook(
                            entry.getKey(),
                            n.target < 0 ? null : d.targets.id[n.target],
                            n.waiting,
                            n.byExtra.size()));
        }
        return all;
    }

    public static VolumeLook volume(Decide d, String volume) {
        State.Volume v = d.agenda.volume(volume);
        if (v == null) {
            return new VolumeLook(-1, 0, 0);
        }
        int waiting = v.waiting.stream().mapToInt(r -> r.queue.size()).sum();
        return new VolumeLook(
                v.limit == null ? -1 : d.settled(v.limit),
                v.reserve == null ? 0 : v.reserve.units,
                waiting);
    }

    /** The part of answers, of late, that told of long queues. */
    public static double lateShare(Decide d) {
        return d.lateShare;
    }

    /** The part of further relays, of late, that succeeded. */
    public static double furtherSuccess(Decide d) {
        return d.furtherSuccess;
    }
}
