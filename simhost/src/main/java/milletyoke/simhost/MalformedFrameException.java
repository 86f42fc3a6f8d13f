package milletyoke.simhost;

/** Input that is not a frame of the wire; the message says what was wrong and in which line. */
public final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(long line, String wrong) {
        super("line " + line + ": " + wrong);
    }
}
