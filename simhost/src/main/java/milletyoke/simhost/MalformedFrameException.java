package milletyoke.simhost;

/** Thrown for input that is not a valid frame; the message names the line and the error. */
public final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(long line, String problem) {
        super("line " + line + ": " + problem);
    }
}
