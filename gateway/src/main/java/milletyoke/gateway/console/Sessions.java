package milletyoke.gateway.console;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The sessions of browsers that signed in. A session has a random id, which is the cookie, and the
 * token, which is checked again for every request. Any thread may call this.
 */
final class Sessions {
    private static final int MAX_SESSIONS = 1_000;
    private static final long LIFETIME_MICROS = 12L * 3600 * 1_000_000;
    private static final int ID_BYTES = 24;

    /**
     * One session.
     *
     * @param csrf the secret that its forms carry
     * @param expiresAtMicros on the monotonic clock
     */
    record Session(String id, String token, String csrf, long expiresAtMicros) {}

    private final SecureRandom random = new SecureRandom();

    /** In the order of their last use; the least recently used is evicted. */
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
     * The session of an id; null where there is none or it has expired.
     *
     * @param id null where the request has no cookie
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
