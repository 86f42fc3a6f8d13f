package milletyoke.gateway.console;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The authenticated sender of a request.
 *
 * @param scope what the token permits
 * @param token the token, valid when the request arrived
 * @param session the browser session; null without a session cookie
 * @param hasBearerToken whether the token came in the Authorization header, which browsers, unlike
 *     cookies, do not send automatically
 */
record Caller(AccessScope scope, String token, Sessions.Session session, boolean hasBearerToken) {

    /** Returns the CSRF token for the forms in this caller's pages; empty without a session. */
    String csrfToken() {
        return session == null ? "" : session.csrfToken();
    }

    /** Returns whether a form came from a page of this caller and not from another site. */
    boolean isOwnForm(String formToken) {
        if (hasBearerToken) {
            return true;
        }
        return session != null
                && MessageDigest.isEqual(
                        session.csrfToken().getBytes(StandardCharsets.UTF_8),
                        formToken.getBytes(StandardCharsets.UTF_8));
    }
}
