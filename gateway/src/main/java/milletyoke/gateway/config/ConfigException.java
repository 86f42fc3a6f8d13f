package milletyoke.gateway.config;

/**
 * A setup that cannot be used; the message names the file, the line and the field, and what is
 * expected there.
 */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}
