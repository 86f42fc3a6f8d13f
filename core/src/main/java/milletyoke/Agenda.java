package milletyoke;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import milletyoke.State.Held;
import milletyoke.State.Node;
import milletyoke.State.Reservation;
import milletyoke.State.Turns;
import milletyoke.State.Volume;

/**
 * The nodes, and which of them are to be served in this turn: those where something happened, and those whose time has
 * come. What need not be served costs nothing. Decides nothing: a node that is served for no reason does nothing.
 */
final class Agenda {
    private final Map<Integer, Node> nodes = new LinkedHashMap<>();
    private final List<Node> made = new ArrayList<>();
    private final TreeSet<Node> touched = new TreeSet<>(Comparator.comparingInt(n -> n.made));
    private final Timetable due = new Timetable();
    private final Set<Node> forBudget = new LinkedHashSet<>();
    private long reservationsMade;
    private long queued;
    /** Accesses that wait, at all nodes. */
    int waiting;

    /** All, in the order of making. */
    Collection<Node> nodes() {
        return nodes.values();
    }

    Map<Integer, Node> byShard() {
        return nodes;
    }

    Node node(int shard) {
        Node known = nodes.get(shard);
        if (known == null) {
            known = new Node(made.size());
            made.add(known);
            nodes.put(shard, known);
        }
        return known;
    }

    /** Something changed that may let accesses leave here. */
    void touch(Node node) {
        touched.add(node);
    }

    /** The same, for more than room: what was found of any access that waits here may be otherwise. */
    void upset(Node node) {
        node.changed = true;
        touched.add(node);
    }

    /** The same, for the accesses of one volume here. */
    void upset(Reservation r) {
        r.node.unpark(r);
        touched.add(r.node);
    }

    void upset(Volume volume) {
        List.copyOf(volume.waiting).forEach(this::upset);
    }

    void upsetAll() {
        nodes.values().forEach(this::upset);
    }

    /** What was found here rests on the relay budget. */
    void restsOnBudget(Node node) {
        forBudget.add(node);
    }

    /** There is a relay budget left again, or none any more. */
    void budgetTurned() {
        forBudget.forEach(this::upset);
        forBudget.clear();
    }

    /** Serve this node at that time too, if nothing happens before. */
    void due(Node node, long time) {
        due.set(node.made, time);
    }

    void come(long now) {
        for (int n : due.due(now)) {
            touched.add(made.get(n));
        }
    }

    /**
     * Takes out the next node to serve, in the order of making, null for none. One that is touched while a later one is
     * served has its turn at the next call.
     *
     * @param after the one before, null for the first
     */
    Node next(Node after) {
        Node next = after == null ? (touched.isEmpty() ? null : touched.first()) : touched.higher(after);
        while (next != null && touched.remove(next) && next.waiting == 0) {
            next = touched.higher(next);
        }
        return next;
    }

    /** The volume's reservation queue at the node; a new one where there is none. */
    Reservation reservation(Node node, Volume volume) {
        Reservation known = node.reservations.get(volume);
        if (known == null) {
            known = new Reservation(reservationsMade++, node, volume);
            node.reservations.put(volume, known);
        }
        return known;
    }

    /** Puts an access into a queue whose reservation is not filed just now, and files that. */
    void queue(Held h, Reservation r) {
        h.queued = queued++;
        h.reservation = r;
        r.node.queue(h, r);
        r.retag();
        r.node.file(r);
        waiting++;
        touched.add(r.node);
    }

    /** Takes an access out of the queue it waits in, if it waits. */
    void unqueue(Held h) {
        if (h.waits()) {
            Reservation r = h.reservation;
            r.node.unfile(r);
            r.node.unqueue(h, r);
            r.retag();
            r.node.file(r);
            waiting--;
        }
    }

    /** An access gives up its place among those of its key; the next one may have its turn. */
    void leave(Turns turns, Held h) {
        turns.order.remove(h);
        if (!turns.order.isEmpty() && turns.order.first().waits()) {
            upset(turns.order.first().reservation);
        }
    }
}
