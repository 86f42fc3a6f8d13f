package milletyoke.gateway.status;

import java.util.List;
import java.util.Map;
import milletyoke.lifecycle.Lifecycle;
import milletyoke.lifecycle.LifecycleState;
import milletyoke.scheduler.SchedulerView;
import milletyoke.scheduler.api.Action;
import org.pcollections.PMap;
import org.pcollections.PVector;

/**
 * What one initiator believed and did at a moment: immutable, so that any number of readers may
 * hold it while the loop goes on. Volumes are a persistent map of which only the changed part is
 * made anew. Times are microseconds on the initiator's clock.
 *
 * @param behind volumes that changed and are not in it yet
 * @param decided the latest decisions, the newest first
 * @param snapshotCostShare part of the loop's time that pictures and accounts took, of late
 */
public record StatusSnapshot(
        long at,
        String name,
        LifecycleState condition,
        List<Lifecycle.Transition> transitions,
        int places,
        int held,
        int out,
        double used,
        long listVersion,
        double lateShare,
        double furtherSuccess,
        long turnP50Micros,
        long turnP99Micros,
        List<Target> targets,
        List<SchedulerView.ShardView> nodes,
        PMap<String, Volume> volumes,
        int behind,
        PVector<OperationalEvent> events,
        Map<String, RequestTally> categories,
        Map<String, RequestTally> plans,
        double snapshotCostShare,
        List<DecisionRecord> decided) {

    /**
     * @param drainedHere taken out of service by an operator of this initiator alone
     */
    public record Target(
            SchedulerView.TargetView look, boolean drainedHere, String listed, RequestTally tally) {
        /** One word for people, the gravest first. */
        public String state() {
            return drainedHere
                    ? "drained here"
                    : !look.usable()
                            ? listed
                            : look.nextTrialAtMicros() > 0
                                    ? "silent"
                                    : look.warmingUp()
                                            ? "cold"
                                            : look.backingOff() ? "resting" : "on";
        }
    }

    /**
     * One volume: what was asked and got through this initiator since its start, and what it has
     * left.
     */
    public record Volume(
            String name,
            String plan,
            RequestTally tally,
            SchedulerView.VolumeView left,
            long lastAsked,
            int held) {}

    /**
     * Counts since the start.
     *
     * @param inTime answered within the agreed time of their category
     */
    public record RequestTally(
            long asked, long answered, long inTime, long rejected, long brokenOff) {
        public static final RequestTally NONE = new RequestTally(0, 0, 0, 0, 0);

        /** The part of what was asked that was answered in time; 1 where nothing was. */
        public double service() {
            return asked == 0 ? 1 : inTime / (double) asked;
        }
    }

    /**
     * Something worth telling.
     *
     * @param volume whose it is alone; null for what concerns the initiator or a target
     */
    public record OperationalEvent(long at, String kind, String what, String volume) {}

    /** One decision as it was made. @param volume whose access it was about, or null */
    public record DecisionRecord(long at, Action action, String volume) {}

    /** Figures of one second of one series; times are of answers, in microseconds. */
    public record SecondSummary(
            int asked, int answered, int inTime, int rejected, int brokenOff, int p50, int p99) {}
}
