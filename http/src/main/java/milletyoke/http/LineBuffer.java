package milletyoke.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The line of a message head that is being received. */
final class LineBuffer {
    private static final int INITIAL_CAPACITY = 128;

    /** A longer buffer is not kept from one message to the next. */
    private static final int MAX_KEPT_CAPACITY = 1024;

    private static final byte DELETE = 0x7f;

    private byte[] bytes = new byte[INITIAL_CAPACITY];
    private int length;
    private boolean isAfterCarriageReturn;

    /**
     * Adds one byte.
     *
     * @return whether it terminated the line; the terminator is not part of it
     */
    boolean add(byte next) throws HttpParseException {
        if (isAfterCarriageReturn) {
            if (next != '\n') {
                throw new HttpParseException(400, "a carriage return without a line feed");
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

    /** Whether nothing of a line was received, not even half of its terminator. */
    boolean isUntouched() {
        return length == 0 && !isAfterCarriageReturn;
    }

    int length() {
        return length;
    }

    byte byteAt(int index) {
        return bytes[index];
    }

    /** Part of the line, one character for each byte. */
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

    /** Frees the memory of long lines, at the end of a message. */
    void shrink() {
        if (bytes.length > MAX_KEPT_CAPACITY) {
            bytes = new byte[INITIAL_CAPACITY];
        }
    }
}
