package milletyoke.gateway.link;

import milletyoke.gateway.setup.Address;

/** Opens connections to targets; what comes of one is told to the loop with the dial's number. */
public interface Dialler {
    Dial dial(String target, Address address, long dial);

    /** A connection in the making. */
    interface Dial {
        void giveUp();
    }
}
