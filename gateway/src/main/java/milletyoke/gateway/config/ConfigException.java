package milletyoke.gateway.config;

/**
 * Thrown when settings cannot be used. The message names the file, the line and the field, and
 * states the expected value.
 */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message shown to the operator: file, line, field and expected value
     */
    public ConfigException(String message) {
        super(message);
    }
}
