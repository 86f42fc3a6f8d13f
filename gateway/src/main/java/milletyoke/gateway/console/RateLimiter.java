package milletyoke.gateway.console;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests a second for each caller, as a bucket that fills; remembers the latest callers only.
 * Knows no clock.
 */
final class RateLimiter {
    private static final int MOST = 4096;

    private static final class Bucket {
        double left;
        long at;
    }

    private final double perSecond;
    private final double burst;
    private final LinkedHashMap<String, Bucket> buckets =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Bucket> eldest) {
                    return size() > MOST;
                }
            };

    RateLimiter(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = burst;
    }

    /** Whether one more request of this caller is within its rate. @param now microseconds */
    synchronized boolean take(String caller, long now) {
        Bucket b =
                buckets.computeIfAbsent(
                        caller,
                        c -> {
                            Bucket fresh = new Bucket();
                            fresh.left = burst;
                            fresh.at = now;
                            return fresh;
                        });
        b.left = Math.min(burst, b.left + perSecond * (now - b.at) / 1e6);
        b.at = now;
        if (b.left < 1) {
            return false;
        }
        b.left -= 1;
        return true;
    }
}
