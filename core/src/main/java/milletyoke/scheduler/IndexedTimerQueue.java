package milletyoke.scheduler;

import java.util.Arrays;

/**
 * Due times of the elements of a dense index: a binary heap that tracks the position of each index,
 * so that setting or clearing a time takes logarithmic time. Not thread-safe.
 */
final class IndexedTimerQueue {
    /** Time of an element that is not due at all. */
    static final long NEVER = Long.MAX_VALUE;

    private long[] timeOf = {};
    private int[] position = {};
    private int[] heap = new int[16];
    private int size;

    /** Sets the due time of {@code index}, replacing any earlier one. */
    void set(int index, long time) {
        if (index >= timeOf.length) {
            int oldCapacity = timeOf.length;
            int capacity = Math.max(16, Math.max(index + 1, 2 * oldCapacity));
            timeOf = Arrays.copyOf(timeOf, capacity);
            position = Arrays.copyOf(position, capacity);
            Arrays.fill(timeOf, oldCapacity, capacity, NEVER);
            Arrays.fill(position, oldCapacity, capacity, -1);
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

    /** Sets the due time of the first {@code count} indexes. */
    void setAll(int count, long time) {
        for (int i = 0; i < count; i++) {
            set(i, time);
        }
    }

    /** Returns the due time of {@code index}, {@link #NEVER} for none. */
    long get(int index) {
        return index < timeOf.length ? timeOf[index] : NEVER;
    }

    /** Returns the earliest due time, {@link #NEVER} for none. */
    long first() {
        return size == 0 ? NEVER : timeOf[heap[0]];
    }

    /** Removes the indexes due at {@code now} or before, and returns them in ascending order. */
    int[] removeDue(long now) {
        if (first() > now) {
            return NONE;
        }
        int[] due = new int[8];
        int count = 0;
        while (first() <= now) {
            due = count == due.length ? Arrays.copyOf(due, 2 * count) : due;
            due[count++] = heap[0];
            set(heap[0], NEVER);
        }
        due = Arrays.copyOf(due, count);
        Arrays.sort(due);
        return due;
    }

    private static final int[] NONE = {};

    private void remove(int index) {
        int vacated = position[index];
        position[index] = -1;
        int last = heap[--size];
        if (last != index) {
            put(vacated, last);
            siftUp(vacated);
            siftDown(position[last]);
        }
    }

    private void put(int heapIndex, int index) {
        heap[heapIndex] = index;
        position[index] = heapIndex;
    }

    private void siftUp(int heapIndex) {
        int index = heap[heapIndex];
        while (heapIndex > 0 && timeOf[heap[(heapIndex - 1) / 2]] > timeOf[index]) {
            put(heapIndex, heap[(heapIndex - 1) / 2]);
            heapIndex = (heapIndex - 1) / 2;
        }
        put(heapIndex, index);
    }

    private void siftDown(int heapIndex) {
        int index = heap[heapIndex];
        while (2 * heapIndex + 1 < size) {
            int child = 2 * heapIndex + 1;
            child += child + 1 < size && timeOf[heap[child + 1]] < timeOf[heap[child]] ? 1 : 0;
            if (timeOf[heap[child]] >= timeOf[index]) {
                break;
            }
            put(heapIndex, heap[child]);
            heapIndex = child;
        }
        put(heapIndex, index);
    }
}
