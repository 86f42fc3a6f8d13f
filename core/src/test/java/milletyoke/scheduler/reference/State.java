package milletyoke.scheduler.reference;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** What the module keeps, as plain data. */
final class State {
    private State() {}

    /**
     * Figures about targets, in parallel arrays under a dense index that lasts one life of the
     * initiator.
     */
    static final class Targets {
        int count;
        String[] id = {};
        String[] zone = {};
        int[] shardOf = {};
        boolean[] usable = {};
        long[] launched = {};

        /** Relays out; those of an earlier life, or presumed lost, are not counted. */
        int[] out = {};

        int[] life = {};
        double[] window = {};

        /** The usual lag of an answer. */
        double[] lag = {};

        /** What the latest answer took. */
        long[] took = {};

        long[] heardAt = {};

        /** When the latest answered relay was sent, and when the window was last halved. */
        long[] answeredSent = {};

        long[] halvedAt = {};

        /**
         * When a silent target is tried again, 0 for one that is not silent; and whether one access
         * may try now.
         */
        long[] nextTrial = {};

        boolean[] mayTry = {};

        /** When a probe left that has no answer yet, 0 for none. */
        long[] askedAt = {};

        /**
         * The waiting that was told of, until when that holds, the draw made with it, and how long
         * a rest is now.
         */
        double[] crowd = {};

        long[] toldUntil = {};
        double[] bar = {};
        long[] rest = {};
        boolean[] probed = {};
        final List<ArrayDeque<Spent>> coldSpent = new ArrayList<>();

        int add(String name) {
            int t = count++;
            id = Arrays.copyOf(id, count);
            zone = Arrays.copyOf(zone, count);
            shardOf = Arrays.copyOf(shardOf, count);
            usable = Arrays.copyOf(usable, count);
            launched = Arrays.copyOf(launched, count);
            out = Arrays.copyOf(out, count);
            life = Arrays.copyOf(life, count);
            window = Arrays.copyOf(window, count);
            lag = Arrays.copyOf(lag, count);
            took = Arrays.copyOf(took, count);
            heardAt = Arrays.copyOf(heardAt, count);
            answeredSent = Arrays.copyOf(answeredSent, count);
            halvedAt = Arrays.copyOf(halvedAt, count);
            nextTrial = Arrays.copyOf(nextTrial, count);
            mayTry = Arrays.copyOf(mayTry, count);
            askedAt = Arrays.copyOf(askedAt, count);
            crowd = Arrays.copyOf(crowd, count);
            toldUntil = Arrays.copyOf(toldUntil, count);
            rest = Arrays.copyOf(rest, count);
            bar = Arrays.copyOf(bar, count);
            probed = Arrays.copyOf(probed, count);
            coldSpent.add(new ArrayDeque<>());
            id[t] = name;
            return t;
        }
    }

    /** One access from taking to its final answer, and on until its last relay has an outcome. */
    static final class Held {
        final Event.RequestReceived access;
        final RequestClass category;
        ServicePlan plan;
        Node node;
        long firstTaken;
        long agreedAt;
        long abandonAt;

        /**
         * When, to which target and in which life of it the latest relay left; -1 once that has its
         * outcome.
         */
        long sentAt;

        int outAt = -1;
        int outLife;
        int relays;

        /**
         * The target of the first relay that may have run, -1 while there is none, and when that
         * relay left.
         */
        int ranAt = -1;

        long ranSince;
        boolean answered;

        /** Its relay is out, and presumed lost. */
        boolean lost;

        /** What the relay that is out counts at a cold target, and what a probe had told of it. */
        Spent spent;

        double toldWaits = -1;
        long number;

        Held(Event.RequestReceived access, RequestClass category, ServicePlan plan) {
            this.access = access;
            this.category = category;
            this.plan = plan;
        }
    }

    /** The node that holds one shard, whichever target that is now; -1 for none. */
    static final class Node {
        int target = -1;
        int waiting;
        final Fading asked = new Fading();
        final Fading served = new Fading();
        long askedAt;
        long drawsSince;
        final int shard;

        Node(int shard) {
            this.shard = shard;
        }

        double virtualTime;
        final Map<String, Reservation> reservations = new LinkedHashMap<>();
    }

    /** A volume's reservation queue at one node, with its three tags. */
    static final class Reservation {
        final LinkedList<Held> queue = new LinkedList<>();
        double weight;
        double start;
        double finish;
        double extra;
    }

    /** Units that fill up at a rate, as they stood at a time. */
    static final class Store {
        double units;
        long at;

        /** Whose plan fills it, and among how many hosts; null until it is first used. */
        String plan;

        double hosts;
    }

    /** What a cold target was sent, and until when that counts. */
    static final class Spent {
        final double units;
        long until = Long.MAX_VALUE;

        Spent(double units) {
            this.units = units;
        }
    }

    /** Units that fade with time. */
    static final class Fading {
        double units;
        long at;

        double at(long time, double horizon) {
            return units * StrictMath.exp(Math.min(0, at - time) / horizon);
        }

        void add(double more, long now, double horizon) {
            units = at(now, horizon) + more;
            at = Math.max(at, now);
        }
    }

    /** The accesses of one key in the order they were taken, and until when the key rests. */
    static final class Turns {
        final ArrayDeque<Held> order = new ArrayDeque<>();
        long restUntil;
    }
}
