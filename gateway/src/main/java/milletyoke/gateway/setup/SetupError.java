package milletyoke.gateway.setup;

/**
 * A setup that cannot be used; the message names the file, the line and the field, and what is
 * expected there.
 */
public final class SetupError extends Exception {
    private static final long serialVersionUID = 1L;

    public SetupError(String message) {
        super(message);
    }
}
