package milletyoke.gateway.reload;

import java.util.ArrayList;
import java.util.List;
import milletyoke.config.Fleet;
import milletyoke.config.FleetDiff;

/**
 * What becomes of a new version of the configuration: all of it is applied, or nothing. Free of I/O
 * and clocks.
 */
public sealed interface ConfigUpdate {
    /** It means the same as the version in force. */
    record Unchanged() implements ConfigUpdate {}

    /** It can be applied while the initiator runs. */
    record Apply(Fleet fleet, List<FleetDiff.Change> changes) implements ConfigUpdate {}

    /** It cannot be applied; {@code why} names each change that prevents that. */
    record Rejected(List<FleetDiff.Change> changes, List<String> why) implements ConfigUpdate {}

    /** Compares a new version with the one in force. */
    static ConfigUpdate judge(Fleet inForce, Fleet next) {
        List<FleetDiff.Change> changes = FleetDiff.between(inForce, next);
        if (changes.isEmpty()) {
            return new Unchanged();
        }
        List<String> why = new ArrayList<>();
        for (FleetDiff.Change change : changes) {
            switch (change.taken()) {
                case RESTART -> why.add(change.text() + ": needs a restart");
                case REFUSED -> why.add(change.text() + ": accesses of it may be held");
                case IN_SERVICE -> {}
            }
        }
        return why.isEmpty() ? new Apply(next, changes) : new Rejected(changes, why);
    }
}
