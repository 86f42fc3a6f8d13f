package milletyoke.scenario.script;

/** Thrown if a script is invalid; the message names the file, the line and the word. */
public final class ScenarioFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that begins with the file and the line. */
    public ScenarioFormatException(String message) {
        super(message);
    }
}
