package milletyoke.scheduler;

import java.util.Arrays;

/**
 * When each of what has a dense index is due next: a binary heap that knows the place of each
 * index, so that to set a time, or to take it back, costs the logarithm of how many are set.
 * Decides nothing. One thread.
 */
final class IndexedTimerQueue {
    /** Set for what is not due at all. */
    static final long NEVER = Long.MAX_VALUE;

    private long[] at = {};
    private int[] place = {};
    private int[] heap = new int[16];
    private int size;

    /** From now on {@code index} is due at {@code time}, whatever was set before. */
    void set(int index, long time) {
        if (index >= at.length) {
            int from = at.length;
            int room = Math.max(16, Math.max(index + 1, 2 * from));
            at = Arrays.copyOf(at, room);
            place = Arrays.copyOf(place, room);
            Arrays.fill(at, from, room, NEVER);
            Arrays.fill(place, from, room, -1);
        }
        long before = at[index];
        at[index] = time;
        if (place[index] < 0) {
            if (time == NEVER) {
                return;
            }
            heap = size == heap.length ? Arrays.copyOf(heap, 2 * size) : heap;
            put(size, index);
            up(size++);
        } else if (time == NEVER) {
            takeOut(index);
        } else if (time < before) {
            up(place[index]);
        } else if (time > before) {
            down(place[index]);
        }
    }

    /** The first {@code count} indexes are all due at {@code time}. */
    void all(int count, long time) {
        for (int i = 0; i < count; i++) {
            set(i, time);
        }
    }

    /** The time set for {@code index}, {@link #NEVER} for none. */
    long of(int index) {
        return index < at.length ? at[index] : NEVER;
    }

    /** The earliest time that is set. */
    long first() {
        return size == 0 ? NEVER : at[heap[0]];
    }

    /** Takes out all that are due at {@code now} or before, lowest index first. */
    int[] due(long now) {
        if (first() > now) {
            return NONE;
        }
        int[] found = new int[8];
        int n = 0;
        while (first() <= now) {
            found = n == found.length ? Arrays.copyOf(found, 2 * n) : found;
            found[n++] = heap[0];
            set(heap[0], NEVER);
        }
        found = Arrays.copyOf(found, n);
        Arrays.sort(found);
        return found;
    }

    private static final int[] NONE = {};

    private void takeOut(int index) {
        int hole = place[index];
        place[index] = -1;
        int last = heap[--size];
        if (last != index) {
            put(hole, last);
            up(hole);
            down(place[last]);
        }
    }

    private void put(int where, int index) {
        heap[where] = index;
        place[index] = where;
    }

    private void up(int where) {
        int index = heap[where];
        while (where > 0 && at[heap[(where - 1) / 2]] > at[index]) {
            put(where, heap[(where - 1) / 2]);
            where = (where - 1) / 2;
        }
        put(where, index);
    }

    private void down(int where) {
        int index = heap[where];
        while (2 * where + 1 < size) {
            int child = 2 * where + 1;
            child += child + 1 < size && at[heap[child + 1]] < at[heap[child]] ? 1 : 0;
            if (at[heap[child]] >= at[index]) {
                break;
            }
            put(where, heap[child]);
            where = child;
        }
        put(where, index);
    }
}
