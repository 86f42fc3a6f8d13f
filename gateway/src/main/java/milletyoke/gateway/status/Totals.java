package milletyoke.gateway.status;

import milletyoke.gateway.status.StatusSnapshot.RequestTally;

/** Counts requests or attempts since the start of the process. Used only by the event loop. */
final class Totals {
    long requests;
    long answered;
    long onTime;
    long rejected;
    long failed;

    RequestTally tally() {
        return new RequestTally(requests, answered, onTime, rejected, failed);
    }
}
