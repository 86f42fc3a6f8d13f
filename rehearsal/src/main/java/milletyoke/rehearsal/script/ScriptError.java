package milletyoke.rehearsal.script;

/** A script that cannot be played; the message names file, line and word. */
public final class ScriptError extends Exception {
    private static final long serialVersionUID = 1L;

    public ScriptError(String message) {
        super(message);
    }
}
