package milletyoke.wire;

/**
 * What a connection may cost this process, whatever its peer does.
 *
 * @param maxFrameBytes largest frame taken or sent, its length prefix left out
 * @param maxUnsentBytes bytes that may wait to be read by the peer; one that lets more wait is
 *     closed
 * @param partialFrameTimeoutMicros how long a frame may stay half received, and a hello may be owed
 *     (microseconds)
 * @param idleTimeoutMicros a connection on which nothing came or went for so long is closed
 *     (microseconds); 0 for never
 */
public record FrameLimits(
        int maxFrameBytes,
        long maxUnsentBytes,
        long partialFrameTimeoutMicros,
        long idleTimeoutMicros) {
    public static final FrameLimits DEFAULT = new FrameLimits(1 << 20, 8L << 20, 5_000_000, 0);
}
