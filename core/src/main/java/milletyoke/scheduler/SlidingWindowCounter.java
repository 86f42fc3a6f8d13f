package milletyoke.scheduler;

import java.util.ArrayDeque;

/** Counts events within a sliding time window. */
final class SlidingWindowCounter {
    private final ArrayDeque<Long> times = new ArrayDeque<>();

    void add(long time, long since) {
        countSince(since);
        times.addLast(time);
    }

    /** Returns the number of events after {@code since}; drops earlier ones. */
    int countSince(long since) {
        while (!times.isEmpty() && times.peekFirst() <= since) {
            times.removeFirst();
        }
        return times.size();
    }
}
