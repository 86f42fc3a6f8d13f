package milletyoke.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The body of the message that is being received. Its memory grows with what was received, not with
 * what was announced.
 */
final class BodyBuffer {
    private static final byte[] EMPTY = {};

    /**
     * Bytes of a body that do not count against the shared budget: enough for most bodies, and
     * little enough for all connections together.
     */
    private static final int UNBUDGETED_BYTES = 2 * 1024;

    /** Null if bodies are bounded by their limit alone. */
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
     * @param expectedLength the length of the whole body as far as it is known
     */
    void append(ByteBuffer in, int count, int expectedLength) throws HttpParseException {
        if (length + count > bytes.length) {
            grow(length + count, expectedLength);
        }
        in.get(bytes, length, count);
        length += count;
    }

    private void grow(int neededLength, int expectedLength) throws HttpParseException {
        int capacity = Math.min(expectedLength, Math.max(neededLength, 2 * bytes.length));
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
                    503, "no memory for a body of " + expectedLength + " bytes");
        }
        acquiredBytes += missing;
    }

    /** The whole body; the buffer still has to be discarded. */
    byte[] toArray() {
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }

    /** Empties the buffer and gives back its share of the budget. */
    void discard() {
        if (acquiredBytes > 0) {
            budget.release(acquiredBytes);
            acquiredBytes = 0;
        }
        bytes = EMPTY;
        length = 0;
    }
}
