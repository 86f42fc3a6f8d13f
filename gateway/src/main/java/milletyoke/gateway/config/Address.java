package milletyoke.gateway.config;

/** Where something listens; port 0 stands for any free one. */
public record Address(String host, int port) {
    /**
     * @throws IllegalArgumentException that says what is expected
     */
    public static Address of(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (!host.isBlank() && port >= 0 && port <= 65535) {
                return new Address(host, port);
            }
        } catch (NumberFormatException notAPort) {
            // told below
        }
        throw new IllegalArgumentException(
                "an address as \"127.0.0.1:7400\" is expected, not \"" + text + "\"");
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
