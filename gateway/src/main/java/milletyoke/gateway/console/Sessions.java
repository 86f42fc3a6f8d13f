package milletyoke.gateway.console;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Browsers that signed in: a random cookie each, behind it the token, which is looked at again at
 * every request.
 */
final class Sessions {
    private static final int MOST = 1_000;
    private static final long LASTS = 12L * 3600 * 1_000_000;

    record Session(String id, String token, String csrf, long until) {}

    private final SecureRandom random = new SecureRandom();
    private final LinkedHashMap<String, Session> all =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Session> eldest) {
                    return size() > MOST;
                }
            };

    /**
     * @param now microseconds
     */
    synchronized Session begin(String token, long now) {
        Session session = new Session(make(), token, make(), now + LASTS);
        all.put(session.id(), session);
        return session;
    }

    synchronized Session of(String id, long now) {
        Session session = id == null ? null : all.get(id);
        if (session != null && now > session.until()) {
            all.remove(id);
            return null;
        }
        return session;
    }

    synchronized void end(String id) {
        all.remove(id);
    }

    private String make() {
        byte[] bytes = new byte[24];
        random.nextBytes(bytes);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }
}
