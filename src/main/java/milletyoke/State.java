package milletyoke;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.Map;
import milletyoke.port.Event;
import milletyoke.port.Provisioning.Category;
import milletyoke.port.Provisioning.Plan;

/** What the module keeps, as plain data. */
final class State {
    private State() {
    }

    /** One access from taking to its final answer, and on until its last relay has an outcome. */
    static final class Held {
        Event.Access access;
        Category category;
        Plan plan;
        Node node;
        long firstTaken;
        long agreedAt;
        long abandonAt;
        /** When, to which target and in which life of it the latest relay left; -1 once that has its outcome. */
        long sentAt;
        int outAt = -1;
        int outLife;
        int relays;
        /** The target of the first relay that may have run, -1 while there is none, and when that relay left. */
        int ranAt = -1;
        long ranSince;
        boolean answered;
        Spent spent;
    }

    /** The node that holds one shard, whichever target that is now; -1 for none. */
    static final class Node {
        int target = -1;
        int waiting;
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
    }

    /** What a cold target was sent, and when; it is borne once it has succeeded. */
    static final class Spent {
        final long at;
        final double units;
        boolean borne;

        Spent(long at, double units) {
            this.at = at;
            this.units = units;
        }
    }

    /** The accesses of one key in the order they were taken, and until when the key rests. */
    static final class Turns {
        final ArrayDeque<Held> order = new ArrayDeque<>();
        long restUntil;
    }
}
