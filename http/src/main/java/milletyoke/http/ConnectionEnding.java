package milletyoke.http;

/**
 * How a connection ended.
 *
 * @param reason why, in words
 * @param signal what the peer sees of the end
 * @param thread the name of the thread that ended it
 * @param unreadBytes number of received bytes that were not read, {@link #UNKNOWN} if the socket
 *     does not tell
 * @param droppedBytes number of bytes that were read and dropped after a graceful close had begun
 * @param pendingWrites number of writes that were not handed to the operating system completely
 */
public record ConnectionEnding(
        String reason,
        Signal signal,
        String thread,
        int unreadBytes,
        int droppedBytes,
        int pendingWrites) {
    /** The number of unread bytes of a socket that does not tell it. */
    public static final int UNKNOWN = -1;

    /** What ends a connection for its peer. */
    public enum Signal {
        /** The peer shut down its output first. */
        ENDED_BY_PEER,
        /** The peer reset the connection. */
        RESET_BY_PEER,
        /** The end of the output, after the bytes that were written. */
        END_OF_OUTPUT,
        /** A reset, without an end of the output before it. */
        RESET
    }
}
