package milletyoke.simulation.policy;

import java.io.IOException;

/** Thrown if a scheduler variant contains an unknown parameter or an invalid value. */
public final class VariantFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that names the parameter and its value. */
    public VariantFormatException(String message) {
        super(message);
    }
}
