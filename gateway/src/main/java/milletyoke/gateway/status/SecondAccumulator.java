package milletyoke.gateway.status;

import milletyoke.gateway.status.StatusSnapshot.SecondSummary;

/** Counts and latencies of one series in the current second. Used only by the event loop. */
final class SecondAccumulator {
    int requests;
    int answered;
    int onTime;
    int rejected;
    int failed;
    final LatencySample latencies = new LatencySample();

    /** Returns the summary of the current second and resets the accumulator for the next. */
    SecondSummary finish() {
        latencies.sort();
        SecondSummary summary =
                new SecondSummary(
                        requests,
                        answered,
                        onTime,
                        rejected,
                        failed,
                        latencies.percentile(50),
                        latencies.percentile(99));
        requests = 0;
        answered = 0;
        onTime = 0;
        rejected = 0;
        failed = 0;
        latencies.clear();
        return summary;
    }

    boolean isEmpty() {
        return requests + answered + rejected + failed == 0;
    }
}
