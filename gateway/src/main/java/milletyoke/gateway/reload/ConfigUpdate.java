package milletyoke.gateway.reload;

import java.util.ArrayList;
import java.util.List;
import milletyoke.config.Fleet;
import milletyoke.config.FleetDiff;

/**
 * Decides what becomes of a new version of the configuration: all of it is applied, or nothing.
 * Free of I/O and clocks.
 */
public sealed interface ConfigUpdate {
    /** It means the same as the one in force. */
    record Unchanged() implements ConfigUpdate {}

    record Apply(Fleet fleet, List<FleetDiff.Change> changes) implements ConfigUpdate {}

    /** Nothing of it is applied; {@code why} says each change that stands in the way. */
    record Rejected(List<FleetDiff.Change> changes, List<String> why) implements ConfigUpdate {}

    static ConfigUpdate judge(Fleet inForce, Fleet next) {
        List<FleetDiff.Change> changes = FleetDiff.between(inForce, next);
        List<String> why = new ArrayList<>();
        for (FleetDiff.Change c : changes) {
            switch (c.taken()) {
                case RESTART -> why.add(c.text() + ": needs a restart");
                case REFUSED -> why.add(c.text() + ": accesses of it may be held");
                case IN_SERVICE -> {}
            }
        }
        return changes.isEmpty()
                ? new Unchanged()
                : why.isEmpty() ? new Apply(next, changes) : new Rejected(changes, why);
    }
}
