package milletyoke.wire;

/**
 * Bounds what a connection may cost this process, whatever its peer does.
 *
 * @param maxFrameBytes largest frame sent or received, without its length prefix
 * @param maxUnsentBytes bytes that may wait until the peer reads them; a connection on which more
 *     would wait is closed
 * @param partialFrameTimeoutMicros how long a frame may stay half received, and how long a hello
 *     may take
 * @param idleTimeoutMicros a connection without any traffic for so long is closed; 0 for never
 */
public record FrameLimits(
        int maxFrameBytes,
        long maxUnsentBytes,
        long partialFrameTimeoutMicros,
        long idleTimeoutMicros) {
    /** 1 MiB a frame, 8 MiB unsent, 5 s for a partial frame, no idle timeout. */
    public static final FrameLimits DEFAULT = new FrameLimits(1 << 20, 8L << 20, 5_000_000, 0);
}
