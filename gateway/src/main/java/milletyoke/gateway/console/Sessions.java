package milletyoke.gateway.console;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps the sessions of signed-in browsers. A session has a random id, which is the value of the
 * cookie, and the access token, which is checked again for every request. Thread-safe.
 */
final class Sessions {
    private static final int MAX_SESSIONS = 1_000;
    private static final long LIFETIME_MICROS = 12L * 3600 * 1_000_000;
    private static final int ID_BYTES = 24;

    /**
     * One session.
     *
     * @param token the access token that the browser signed in with
     * @param csrfToken the secret in the session's forms
     * @param expiresAtMicros end of the session on the monotonic clock
     */
    record Session(String id, String token, String csrfToken, long expiresAtMicros) {}

    private final SecureRandom random = new SecureRandom();

    /** In order of last use; the least recently used session is evicted. */
    private final LinkedHashMap<String, Session> sessions =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Session> eldest) {
                    return size() > MAX_SESSIONS;
                }
            };

    synchronized Session begin(String token, long nowMicros) {
        Session session = new Session(randomId(), token, randomId(), nowMicros + LIFETIME_MICROS);
        sessions.put(session.id(), session);
        return session;
    }

    /**
     * Returns the session with an id; null if there is none or it has expired.
     *
     * @param id null if the request has no cookie
     */
    synchronized Session find(String id, long nowMicros) {
        Session session = id == null ? null : sessions.get(id);
        if (session != null && nowMicros > session.expiresAtMicros()) {
            sessions.remove(id);
            return null;
        }
        return session;
    }

    synchronized void end(String id) {
        sessions.remove(id);
    }

    private String randomId() {
        byte[] bytes = new byte[ID_BYTES];
        random.nextBytes(bytes);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }
}
