package milletyoke.wire;

/**
 * What a connection may cost this process, whatever its peer does.
 *
 * @param frameBytes largest frame taken or sent, its length prefix left out
 * @param waitingBytes bytes that may wait to be read by the peer; one that lets more wait is closed
 * @param partialMicros how long a frame may stay half received, and a hello may be owed
 *     (microseconds)
 * @param idleMicros a connection on which nothing came or went for so long is closed
 *     (microseconds); 0 for never
 */
public record Bounds(int frameBytes, long waitingBytes, long partialMicros, long idleMicros) {
    public static final Bounds USUAL = new Bounds(1 << 20, 8L << 20, 5_000_000, 0);
}
