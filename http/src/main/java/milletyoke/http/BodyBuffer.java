package milletyoke.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Buffers the body of the message that is being received. The buffer grows with the bytes received,
 * not with the length that the message announces.
 */
final class BodyBuffer {
    private static final byte[] EMPTY = {};

    /**
     * The number of bytes of each body that do not count against the shared budget: large enough
     * for most bodies, and small enough that the memory of all connections together is acceptable.
     */
    private static final int UNBUDGETED_BYTES = 2 * 1024;

    /** Null if only the limit on each single body applies. */
    private final SharedByteBudget budget;

    private byte[] bytes = EMPTY;
    private int length;
    private int acquiredBytes;

    BodyBuffer(SharedByteBudget budget) {
        this.budget = budget;
    }

    int length() {
        return length;
    }

    /**
     * Appends the next bytes of the input.
     *
     * @param expectedLength the length of the complete body as far as it is known
     */
    void append(ByteBuffer in, int count, int expectedLength) throws HttpParseException {
        if (length + count > bytes.length) {
            grow(length + count, expectedLength);
        }
        in.get(bytes, length, count);
        length += count;
    }

    private void grow(int requiredLength, int expectedLength) throws HttpParseException {
        int capacity = Math.min(expectedLength, Math.max(requiredLength, 2 * bytes.length));
        if (budget != null) {
            acquire(capacity, expectedLength);
        }
        bytes = Arrays.copyOf(bytes, capacity);
    }

    private void acquire(int capacity, int expectedLength) throws HttpParseException {
        int missing = Math.max(0, capacity - UNBUDGETED_BYTES) - acquiredBytes;
        if (missing <= 0) {
            return;
        }
        if (!budget.tryAcquire(missing)) {
            throw new HttpParseException(
                    503,
                    "no memory in the shared budget for a body of " + expectedLength + " bytes");
        }
        acquiredBytes += missing;
    }

    /** Returns the complete body. The buffer must still be discarded. */
    byte[] toArray() {
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }

    /** Empties the buffer and releases the bytes that it acquired from the budget. */
    void discard() {
        if (acquiredBytes > 0) {
            budget.release(acquiredBytes);
            acquiredBytes = 0;
        }
        bytes = EMPTY;
        length = 0;
    }
}
