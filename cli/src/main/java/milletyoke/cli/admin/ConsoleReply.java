package milletyoke.cli.admin;

/**
 * A reply from the console.
 *
 * @param status the HTTP status code
 * @param body the JSON text, or an empty string
 */
record ConsoleReply(int status, String body) {
    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    boolean isSuccess() {
        return status < FIRST_NON_SUCCESS_STATUS;
    }
}
