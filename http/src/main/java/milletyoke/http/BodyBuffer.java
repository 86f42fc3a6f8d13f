package milletyoke.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Buffers the body of the message that is being received. The buffer grows with the bytes received,
 * not with the length that the message announces.
 */
final class BodyBuffer {
    private static final byte[] EMPTY = {};

    /** Null if only the limit on each single body applies. */
    private final SharedByteBudget budget;

    private final BodyPolicy policy;
    private byte[] bytes = EMPTY;
    private int length;
    private int acquiredBytes;

    /** Whether the bytes of the current body are only counted. */
    private boolean isOmitted;

    BodyBuffer(SharedByteBudget budget, BodyPolicy policy) {
        this.budget = budget;
        this.policy = policy;
    }

    /** Returns the number of bytes received of the body, omitted ones included. */
    int length() {
        return length;
    }

    /** Returns whether the body was dropped because the shared budget had no room for it. */
    boolean isOmitted() {
        return isOmitted;
    }

    /**
     * Appends the next bytes of the input.
     *
     * @param expectedLength the length of the complete body as far as it is known
     */
    void append(ByteBuffer in, int count, int expectedLength) throws HttpParseException {
        if (!isOmitted && length + count > bytes.length) {
            grow(length + count, expectedLength);
        }
        if (isOmitted) {
            in.position(in.position() + count);
        } else {
            in.get(bytes, length, count);
        }
        length += count;
    }

    private void grow(int requiredLength, int expectedLength) throws HttpParseException {
        int capacity = Math.min(expectedLength, Math.max(requiredLength, 2 * bytes.length));
        if (budget == null || tryAcquire(capacity)) {
            bytes = Arrays.copyOf(bytes, capacity);
        } else if (policy == BodyPolicy.OMIT_WITHOUT_MEMORY) {
            omit();
        } else {
            throw new HttpParseException(
                    503,
                    "no memory in the shared budget for a body of " + expectedLength + " bytes");
        }
    }

    private boolean tryAcquire(int capacity) {
        int missing = SharedByteBudget.countedBytes(capacity) - acquiredBytes;
        if (missing <= 0) {
            return true;
        }
        boolean isAcquired = budget.tryAcquire(missing);
        if (isAcquired) {
            acquiredBytes += missing;
        }
        return isAcquired;
    }

    private void omit() {
        int receivedLength = length;
        discard();
        length = receivedLength;
        isOmitted = true;
    }

    /** Returns the complete body; empty if it was omitted. The buffer must still be discarded. */
    byte[] toArray() {
        if (isOmitted) {
            return EMPTY;
        }
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
        isOmitted = false;
    }
}
