package milletyoke.gateway.status;

import milletyoke.gateway.status.StatusSnapshot.SecondSummary;

/** The counts and latencies of one series in the current second. Used by the event loop alone. */
final class SecondAccumulator {
    int requests;
    int answered;
    int onTime;
    int rejected;
    int failed;
    final LatencySample latencies = new LatencySample();

    /** Returns the summary of the second and starts the next. */
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
