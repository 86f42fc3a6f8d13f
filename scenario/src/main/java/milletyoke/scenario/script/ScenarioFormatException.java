package milletyoke.scenario.script;

/** A script that cannot be played; the message names file, line and word. */
public final class ScenarioFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    public ScenarioFormatException(String message) {
        super(message);
    }
}
