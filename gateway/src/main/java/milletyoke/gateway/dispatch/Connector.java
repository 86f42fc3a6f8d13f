package milletyoke.gateway.dispatch;

import milletyoke.gateway.config.Address;

/**
 * Opens connections to targets. The result is posted to the event loop as {@code ConnectSucceeded}
 * or {@code ConnectFailed} with the number of the connect.
 */
public interface Connector {
    /** Starts a connect without blocking. Called on the loop's thread. */
    PendingConnect connect(String target, Address address, long connectNumber);

    /** Handle of a connect that is in progress. */
    interface PendingConnect {
        /** Cancels the connect; the loop ignores a result that is posted nevertheless. */
        void cancel();
    }
}
