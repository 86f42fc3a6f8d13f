package milletyoke.gateway.status;

import milletyoke.gateway.status.StatusSnapshot.RequestTally;

/** Counts since the start. Used by the event loop alone. */
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
