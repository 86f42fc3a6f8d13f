package milletyoke.gateway.console;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the request rate of each caller by a token bucket; buckets are kept for the most recent
 * callers only. Times are passed in by the caller. Thread-safe.
 */
final class RateLimiter {
    private static final int MAX_CALLERS = 4096;
    private static final double MICROS_PER_SECOND = 1e6;

    private static final class Bucket {
        double tokens;
        long refilledAtMicros;

        Bucket(double tokens, long nowMicros) {
            this.tokens = tokens;
            refilledAtMicros = nowMicros;
        }
    }

    private final double ratePerSecond;
    private final double burst;

    /** In order of last use; the least recently used bucket is evicted. */
    private final LinkedHashMap<String, Bucket> buckets =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Bucket> eldest) {
                    return size() > MAX_CALLERS;
                }
            };

    RateLimiter(double ratePerSecond, double burst) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
    }

    /** Returns whether one more request of the caller is within its rate, and counts it if so. */
    synchronized boolean tryAcquire(String caller, long nowMicros) {
        Bucket bucket = buckets.computeIfAbsent(caller, key -> new Bucket(burst, nowMicros));
        double refill = ratePerSecond * (nowMicros - bucket.refilledAtMicros) / MICROS_PER_SECOND;
        bucket.tokens = Math.min(burst, bucket.tokens + refill);
        bucket.refilledAtMicros = nowMicros;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens -= 1;
        return true;
    }
}
