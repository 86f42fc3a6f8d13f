package milletyoke.scheduler;

import java.util.ArrayDeque;

/** When something happened, as far back as is asked. */
final class SlidingWindowCounter {
    private final ArrayDeque<Long> times = new ArrayDeque<>();

    void add(long time, long since) {
        countSince(since);
        times.addLast(time);
    }

    /** How often after that time; what was before is dropped. */
    int countSince(long since) {
        while (!times.isEmpty() && times.peekFirst() <= since) {
            times.removeFirst();
        }
        return times.size();
    }
}
