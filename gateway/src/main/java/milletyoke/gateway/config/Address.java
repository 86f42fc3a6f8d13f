package milletyoke.gateway.config;

/**
 * A host and a TCP port to listen on or to connect to.
 *
 * @param port 0 selects any free port
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses {@code host:port}.
     *
     * @throws IllegalArgumentException with a message that quotes the text and shows the expected
     *     form
     */
    public static Address of(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (!host.isBlank() && port >= 0 && port <= MAX_PORT) {
                return new Address(host, port);
            }
        } catch (NumberFormatException notAPort) {
            // the exception below quotes the whole text
        }
        throw new IllegalArgumentException(
                "an address as \"127.0.0.1:7400\" is expected, not \"" + text + "\"");
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
