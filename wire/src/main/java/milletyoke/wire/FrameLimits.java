package milletyoke.wire;

/**
 * Limits the resources that one connection uses in this process, independent of the peer's
 * behavior.
 *
 * @param maxFrameBytes maximum size of a frame sent or received, without its length prefix
 * @param maxUnsentBytes maximum number of bytes that wait to be written; a connection that would
 *     exceed it is closed
 * @param partialFrameTimeoutMicros maximum time for which a frame may be received in part only, and
 *     maximum time until the peer's hello
 * @param idleTimeoutMicros time without any traffic after which a connection is closed; 0 disables
 *     the timeout
 */
public record FrameLimits(
        int maxFrameBytes,
        long maxUnsentBytes,
        long partialFrameTimeoutMicros,
        long idleTimeoutMicros) {
    /** Default limits: 1 MiB per frame, 8 MiB unsent, 5 s for a partial frame, no idle timeout. */
    public static final FrameLimits DEFAULT = new FrameLimits(1 << 20, 8L << 20, 5_000_000, 0);
}
