package milletyoke.simulation.policy;

import java.io.IOException;

/** A variant of an experiment names a figure that is unknown or malformed. */
public final class VariantFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    /** An error with a message that names the figure and its value. */
    public VariantFormatException(String message) {
        super(message);
    }
}
