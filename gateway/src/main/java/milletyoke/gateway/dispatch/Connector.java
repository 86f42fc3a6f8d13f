package milletyoke.gateway.dispatch;

import milletyoke.gateway.config.Address;

/** Opens connections to targets; what comes of one is told to the loop with the dial's number. */
public interface Connector {
    PendingConnect connect(String target, Address address, long dial);

    /** A connection in the making. */
    interface PendingConnect {
        void cancel();
    }
}
