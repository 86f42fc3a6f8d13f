package milletyoke.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Buffers the line of a message head that is being received. */
final class LineBuffer {
    private static final int INITIAL_CAPACITY = 128;

    /** A larger buffer is released at the end of a message. */
    private static final int MAX_RETAINED_CAPACITY = 1024;

    private static final byte DELETE = 0x7f;

    private byte[] bytes = new byte[INITIAL_CAPACITY];
    private int length;
    private boolean isAfterCarriageReturn;

    /**
     * Adds one byte.
     *
     * @return whether the byte completed the line; the line terminator is not stored
     */
    boolean add(byte next) throws HttpParseException {
        if (isAfterCarriageReturn) {
            if (next != '\n') {
                throw new HttpParseException(
                        400, "carriage return without a line feed in a message head");
            }
            isAfterCarriageReturn = false;
            return true;
        }
        if (next == '\r') {
            isAfterCarriageReturn = true;
            return false;
        }
        if (isForbidden(next)) {
            throw new HttpParseException(400, "control character " + next + " in a message head");
        }
        if (length == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * bytes.length);
        }
        bytes[length] = next;
        length++;
        return false;
    }

    private static boolean isForbidden(byte value) {
        boolean isControl = value >= 0 && value < ' ' && value != '\t';
        return isControl || value == DELETE;
    }

    /** Returns whether no byte of the line was received, not even the CR of its terminator. */
    boolean hasNoInput() {
        return length == 0 && !isAfterCarriageReturn;
    }

    int length() {
        return length;
    }

    byte byteAt(int index) {
        return bytes[index];
    }

    /** Returns a part of the line, with one character for each byte. */
    String text(int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    String text() {
        return text(0, length);
    }

    /** Starts the next line. */
    void clear() {
        length = 0;
    }

    /** Releases the buffer if a long line has enlarged it. To be called at the end of a message. */
    void shrink() {
        if (bytes.length > MAX_RETAINED_CAPACITY) {
            bytes = new byte[INITIAL_CAPACITY];
        }
    }
}
