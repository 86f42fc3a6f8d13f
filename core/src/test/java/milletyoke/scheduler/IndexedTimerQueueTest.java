package milletyoke.scheduler;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class IndexedTimerQueueTest {
    @Test
    void agreesWithASortedMap() {
        SplittableRandom random = new SplittableRandom(5);
        IndexedTimerQueue queue = new IndexedTimerQueue();
        TreeMap<Integer, Long> expectedTimes = new TreeMap<>();
        for (int step = 0; step < 200_000; step++) {
            int index = random.nextInt(300);
            if (random.nextInt(20) == 0) {
                long now = random.nextInt(1_000);
                int[] expected =
                        expectedTimes.entrySet().stream()
                                .filter(entry -> entry.getValue() <= now)
                                .mapToInt(Map.Entry::getKey)
                                .toArray();
                assertArrayEquals(expected, queue.removeDue(now));
                expectedTimes.values().removeIf(time -> time <= now);
            } else if (random.nextInt(4) == 0) {
                queue.set(index, IndexedTimerQueue.NEVER);
                expectedTimes.remove(index);
            } else {
                long time = random.nextInt(1_000);
                queue.set(index, time);
                expectedTimes.put(index, time);
            }
            assertEquals(
                    expectedTimes.values().stream()
                            .mapToLong(time -> time)
                            .min()
                            .orElse(IndexedTimerQueue.NEVER),
                    queue.first());
            assertEquals(
                    expectedTimes.getOrDefault(index, IndexedTimerQueue.NEVER), queue.get(index));
        }
    }

    /**
     * Guards against a bound that rises without notice: times computed from the lower bound would
     * stay in force, and requests would be served too late, as seen in a large benchmark scenario.
     */
    @Test
    void highWaterMarkNeverRisesUnnoticed() {
        SplittableRandom random = new SplittableRandom(6);
        HighWaterMark mark = new HighWaterMark();
        double value = 100;
        boolean lowered = false;
        for (long now = 0; now < 100_000_000L; now += random.nextInt(40_000)) {
            value *= 0.97 + 0.06 * random.nextDouble();
            double before = mark.bound;
            boolean isRaised = mark.raiseFor(value, now);
            assertTrue(mark.bound >= value);
            assertTrue(isRaised || mark.bound <= before, "bound raised without notice");
            lowered |= mark.bound < before;
        }
        assertTrue(lowered);
    }
}
