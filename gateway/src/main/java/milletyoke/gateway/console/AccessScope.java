package milletyoke.gateway.console;

import java.util.List;

/**
 * Whose eyes look at the console, and so what they see. A tenant sees its own volumes and what it
 * would be told anyway; what is not its own is, to it, not there.
 *
 * @param name of the token, for the journal of actions
 * @param volumes of a tenant: names, or prefixes that end in *
 */
public record AccessScope(String name, Role role, List<String> volumes) {
    /** Each may do what the one before may, but a tenant, who sees its own only. */
    public enum Role {
        TENANT,
        VIEWER,
        OPERATOR
    }

    /** Whether it sees more than its own. */
    boolean all() {
        return role != Role.TENANT;
    }

    boolean acts() {
        return role == Role.OPERATOR;
    }

    boolean sees(String volume) {
        return all()
                || volumes.stream()
                        .anyMatch(
                                v ->
                                        v.endsWith("*")
                                                ? volume.startsWith(v.substring(0, v.length() - 1))
                                                : v.equals(volume));
    }
}
