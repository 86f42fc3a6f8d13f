package milletyoke.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import milletyoke.config.Difference;
import milletyoke.config.Fleet;

/**
 * Decides what becomes of a new version of the configuration: all of it is applied, or nothing.
 * Free of I/O and clocks.
 */
public sealed interface Change {
    /** It means the same as the one in force. */
    record Same() implements Change {}

    record Apply(Fleet fleet, List<Difference.Change> changes) implements Change {}

    /** Nothing of it is applied; {@code why} says each change that stands in the way. */
    record Refuse(List<Difference.Change> changes, List<String> why) implements Change {}

    static Change judge(Fleet inForce, Fleet next) {
        List<Difference.Change> changes = Difference.between(inForce, next);
        List<String> why = new ArrayList<>();
        for (Difference.Change c : changes) {
            switch (c.taken()) {
                case RESTART -> why.add(c.text() + ": needs a restart");
                case REFUSED -> why.add(c.text() + ": accesses of it may be held");
                case IN_SERVICE -> {}
            }
        }
        return changes.isEmpty()
                ? new Same()
                : why.isEmpty() ? new Apply(next, changes) : new Refuse(changes, why);
    }
}
