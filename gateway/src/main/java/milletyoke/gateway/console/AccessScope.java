package milletyoke.gateway.console;

import java.util.List;

/**
 * What the holder of a token may see and do. A tenant sees only its own volumes; others are treated
 * as if they did not exist.
 *
 * @param name name of the token, written to the audit log
 * @param volumes volumes of a tenant: names, or prefixes followed by {@code *}
 */
public record AccessScope(String name, Role role, List<String> volumes) {
    /** Roles of tokens: a viewer sees everything; an operator may also perform actions. */
    public enum Role {
        TENANT,
        VIEWER,
        OPERATOR
    }

    /** Returns whether everything is visible, not only the volumes of one tenant. */
    boolean canSeeAll() {
        return role != Role.TENANT;
    }

    boolean canAct() {
        return role == Role.OPERATOR;
    }

    boolean canSee(String volume) {
        return canSeeAll() || volumes.stream().anyMatch(pattern -> matches(pattern, volume));
    }

    private static boolean matches(String pattern, String volume) {
        return pattern.endsWith("*")
                ? volume.startsWith(pattern.substring(0, pattern.length() - 1))
                : pattern.equals(volume);
    }
}
