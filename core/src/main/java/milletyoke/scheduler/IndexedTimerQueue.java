package milletyoke.scheduler;

import java.util.Arrays;

/**
 * When each element of a dense index is due: a binary heap that knows the position of each index,
 * so that setting or clearing a time costs the logarithm of how many are set. One thread.
 */
final class IndexedTimerQueue {
    /** Stands for an element that is not due at all. */
    static final long NEVER = Long.MAX_VALUE;

    private long[] timeOf = {};
    private int[] position = {};
    private int[] heap = new int[16];
    private int size;

    /** From now on {@code index} is due at {@code time}, whatever was set before. */
    void set(int index, long time) {
        if (index >= timeOf.length) {
            int from = timeOf.length;
            int room = Math.max(16, Math.max(index + 1, 2 * from));
            timeOf = Arrays.copyOf(timeOf, room);
            position = Arrays.copyOf(position, room);
            Arrays.fill(timeOf, from, room, NEVER);
            Arrays.fill(position, from, room, -1);
        }
        long before = timeOf[index];
        timeOf[index] = time;
        if (position[index] < 0) {
            if (time == NEVER) {
                return;
            }
            heap = size == heap.length ? Arrays.copyOf(heap, 2 * size) : heap;
            put(size, index);
            siftUp(size++);
        } else if (time == NEVER) {
            remove(index);
        } else if (time < before) {
            siftUp(position[index]);
        } else if (time > before) {
            siftDown(position[index]);
        }
    }

    /** The first {@code count} indexes are all due at {@code time}. */
    void setAll(int count, long time) {
        for (int i = 0; i < count; i++) {
            set(i, time);
        }
    }

    /** The time set for {@code index}, {@link #NEVER} for none. */
    long get(int index) {
        return index < timeOf.length ? timeOf[index] : NEVER;
    }

    /** The earliest time that is set. */
    long first() {
        return size == 0 ? NEVER : timeOf[heap[0]];
    }

    /** Removes all that are due at {@code now} or before, and returns them, lowest index first. */
    int[] removeDue(long now) {
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

    private void remove(int index) {
        int hole = position[index];
        position[index] = -1;
        int last = heap[--size];
        if (last != index) {
            put(hole, last);
            siftUp(hole);
            siftDown(position[last]);
        }
    }

    private void put(int where, int index) {
        heap[where] = index;
        position[index] = where;
    }

    private void siftUp(int where) {
        int index = heap[where];
        while (where > 0 && timeOf[heap[(where - 1) / 2]] > timeOf[index]) {
            put(where, heap[(where - 1) / 2]);
            where = (where - 1) / 2;
        }
        put(where, index);
    }

    private void siftDown(int where) {
        int index = heap[where];
        while (2 * where + 1 < size) {
            int child = 2 * where + 1;
            child += child + 1 < size && timeOf[heap[child + 1]] < timeOf[heap[child]] ? 1 : 0;
            if (timeOf[heap[child]] >= timeOf[index]) {
                break;
            }
            put(where, heap[child]);
            where = child;
        }
        put(where, index);
    }
}
