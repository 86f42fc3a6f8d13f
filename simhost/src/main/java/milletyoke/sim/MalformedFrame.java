package milletyoke.sim;

/** Input that is not a frame of the wire; the message says what was wrong and in which line. */
public final class MalformedFrame extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrame(long line, String wrong) {
        super("line " + line + ": " + wrong);
    }
}
