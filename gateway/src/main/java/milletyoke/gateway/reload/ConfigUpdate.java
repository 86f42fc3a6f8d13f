package milletyoke.gateway.reload;

import java.util.ArrayList;
import java.util.List;
import milletyoke.config.Fleet;
import milletyoke.config.FleetDiff;

/**
 * Decision on a new version of the configuration, which is applied completely or not at all. Uses
 * no I/O and no clock.
 */
public sealed interface ConfigUpdate {
    /** The new version is equivalent to the version in force. */
    record Unchanged() implements ConfigUpdate {}

    /** The new version can be applied while the initiator runs. */
    record Apply(Fleet fleet, List<FleetDiff.Change> changes) implements ConfigUpdate {}

    /** The new version cannot be applied; {@code reasons} names each change that prevents it. */
    record Rejected(List<FleetDiff.Change> changes, List<String> reasons) implements ConfigUpdate {}

    /** Compares a new version with the one in force. */
    static ConfigUpdate compare(Fleet inForce, Fleet next) {
        List<FleetDiff.Change> changes = FleetDiff.between(inForce, next);
        if (changes.isEmpty()) {
            return new Unchanged();
        }
        List<String> reasons = new ArrayList<>();
        for (FleetDiff.Change change : changes) {
            switch (change.taken()) {
                case RESTART -> reasons.add(change.text() + ": needs a restart");
                case REFUSED ->
                        reasons.add(
                                change.text()
                                        + ": cannot be removed, requests of it may be pending");
                case IN_SERVICE -> {}
            }
        }
        return reasons.isEmpty() ? new Apply(next, changes) : new Rejected(changes, reasons);
    }
}
