package milletyoke.scheduler;

import java.util.ArrayDeque;

/** Counts events inside a window that slides with time. */
final class SlidingWindowCounter {
    private final ArrayDeque<Long> times = new ArrayDeque<>();

    void add(long time, long since) {
        countSince(since);
        times.addLast(time);
    }

    /** How many events came after {@code since}; earlier ones are dropped. */
    int countSince(long since) {
        while (!times.isEmpty() && times.peekFirst() <= since) {
            times.removeFirst();
        }
        return times.size();
    }
}
