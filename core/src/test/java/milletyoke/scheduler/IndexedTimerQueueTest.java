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
        SplittableRandom chance = new SplittableRandom(5);
        IndexedTimerQueue table = new IndexedTimerQueue();
        TreeMap<Integer, Long> plain = new TreeMap<>();
        for (int step = 0; step < 200_000; step++) {
            int index = chance.nextInt(300);
            if (chance.nextInt(20) == 0) {
                long now = chance.nextInt(1_000);
                int[] expected =
                        plain.entrySet().stream()
                                .filter(e -> e.getValue() <= now)
                                .mapToInt(Map.Entry::getKey)
                                .toArray();
                assertArrayEquals(expected, table.removeDue(now));
                plain.values().removeIf(at -> at <= now);
            } else if (chance.nextInt(4) == 0) {
                table.set(index, IndexedTimerQueue.NEVER);
                plain.remove(index);
            } else {
                long at = chance.nextInt(1_000);
                table.set(index, at);
                plain.put(index, at);
            }
            assertEquals(
                    plain.values().stream().mapToLong(x -> x).min().orElse(IndexedTimerQueue.NEVER),
                    table.first());
            assertEquals(plain.getOrDefault(index, IndexedTimerQueue.NEVER), table.get(index));
        }
    }

    /**
     * A bound that went up quietly left times standing that rested on the lower one (found on a big
     * day of the bench).
     */
    @Test
    void highWaterMarkNeverRisesUnnoticed() {
        SplittableRandom chance = new SplittableRandom(6);
        HighWaterMark mark = new HighWaterMark();
        double figure = 100;
        boolean lowered = false;
        for (long now = 0; now < 100_000_000L; now += chance.nextInt(40_000)) {
            figure *= 0.97 + 0.06 * chance.nextDouble();
            double before = mark.bound;
            boolean told = mark.raiseFor(figure, now);
            assertTrue(mark.bound >= figure);
            assertTrue(told || mark.bound <= before, "raised and not told");
            lowered |= mark.bound < before;
        }
        assertTrue(lowered);
    }
}
