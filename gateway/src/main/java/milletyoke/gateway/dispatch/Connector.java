package milletyoke.gateway.dispatch;

import milletyoke.gateway.config.Address;

/**
 * Opens connections to targets. The result is posted to the event loop with the connect's number,
 * as {@code ConnectSucceeded} or {@code ConnectFailed}.
 */
public interface Connector {
    /** Starts to connect and returns at once; called on the loop's thread. */
    PendingConnect connect(String target, Address address, long connectNumber);

    /** A connection that is not established yet. */
    interface PendingConnect {
        /** Gives up; a result that is posted all the same is ignored by the loop. */
        void cancel();
    }
}
