package milletyoke.gateway.config;

/**
 * Settings that cannot be used. The message names the file, the line and the field, and says what
 * is expected there.
 */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message for the operator: place, field and what is expected
     */
    public ConfigException(String message) {
        super(message);
    }
}
