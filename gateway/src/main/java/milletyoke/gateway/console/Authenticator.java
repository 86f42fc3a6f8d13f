package milletyoke.gateway.console;

import milletyoke.wire.SocketNetwork;
import org.glassfish.grizzly.http.Cookie;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Authenticates requests by bearer token or session cookie, and limits the rate of requests.
 * Thread-safe.
 */
final class Authenticator {
    private static final String COOKIE = "milletyoke";
    private static final String BEARER = "Bearer ";
    private static final int MAX_AUTHORIZATION_LENGTH = 300;
    private static final double ANONYMOUS_REQUESTS_PER_SECOND = 20;
    private static final double ANONYMOUS_BURST = 60;
    private static final double BURST_SECONDS = 4;

    private final Tokens tokens;
    private final Sessions sessions = new Sessions();
    private final RateLimiter tokenLimiter;
    private final RateLimiter anonymousLimiter =
            new RateLimiter(ANONYMOUS_REQUESTS_PER_SECOND, ANONYMOUS_BURST);

    /**
     * Creates the authenticator.
     *
     * @param requestsPerSecond rate limit of each token
     */
    Authenticator(Tokens tokens, double requestsPerSecond) {
        this.tokens = tokens;
        tokenLimiter = new RateLimiter(requestsPerSecond, BURST_SECONDS * requestsPerSecond);
    }

    /** Returns the caller; null without a valid token. Does not count against a rate limit. */
    Caller authenticate(Request request) {
        Sessions.Session session = sessions.find(cookie(request), SocketNetwork.monotonicMicros());
        String bearer = bearerToken(request);
        String token = bearer;
        if (token == null && session != null) {
            token = session.token();
        }
        AccessScope scope = token == null ? null : tokens.scope(token);
        return scope == null ? null : new Caller(scope, token, session, bearer != null);
    }

    /**
     * Counts a request without a valid token against the rate limit of its remote address; fails if
     * the limit is exceeded.
     */
    void checkAnonymousRate(Request request) throws HttpProblemException {
        checkRate(anonymousLimiter, request.getRemoteAddr());
    }

    /** Counts a request against the rate limit of its token; fails if the limit is exceeded. */
    void checkRate(Caller caller) throws HttpProblemException {
        checkRate(tokenLimiter, caller.scope().name());
    }

    private static void checkRate(RateLimiter limiter, String key) throws HttpProblemException {
        if (!limiter.tryAcquire(key, SocketNetwork.monotonicMicros())) {
            throw HttpProblemException.tooManyRequests();
        }
    }

    /** Begins a session if the token is valid; returns whether it is. */
    boolean signIn(String token, Response response) {
        if (tokens.scope(token) == null) {
            return false;
        }
        Sessions.Session session = sessions.begin(token, SocketNetwork.monotonicMicros());
        response.setHeader(
                "Set-Cookie", COOKIE + "=" + session.id() + "; Path=/; HttpOnly; SameSite=Strict");
        return true;
    }

    void signOut(Caller caller) {
        if (caller.session() != null) {
            sessions.end(caller.session().id());
        }
    }

    private static String bearerToken(Request request) {
        String header = request.getHeader("Authorization");
        boolean isBearer =
                header != null
                        && header.startsWith(BEARER)
                        && header.length() < MAX_AUTHORIZATION_LENGTH;
        return isBearer ? header.substring(BEARER.length()).trim() : null;
    }

    private static String cookie(Request request) {
        Cookie[] cookies = request.getCookies();
        if (cookies == null) {
            return null;
        }
        for (Cookie cookie : cookies) {
            if (cookie.getName().equals(COOKIE)) {
                return cookie.getValue();
            }
        }
        return null;
    }
}
