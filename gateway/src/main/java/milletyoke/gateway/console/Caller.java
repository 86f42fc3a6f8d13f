package milletyoke.gateway.console;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * Who sent a request.
 *
 * @param token valid when the request arrived
 * @param session of a browser; null without a session cookie
 * @param hasBearerToken whether the token came in the Authorization header, which a browser does
 *     not send by itself as it does cookies
 */
record Caller(AccessScope scope, String token, Sessions.Session session, boolean hasBearerToken) {

    /** The secret for the forms of this caller's pages. */
    String csrf() {
        return session == null ? "" : session.csrf();
    }

    /** Whether a form was made for this caller, and not by another site. */
    boolean ownsForm(String formCsrf) {
        if (hasBearerToken) {
            return true;
        }
        return session != null
                && MessageDigest.isEqual(
                        session.csrf().getBytes(StandardCharsets.UTF_8),
                        formCsrf.getBytes(StandardCharsets.UTF_8));
    }
}
