package milletyoke.gateway.console;

import java.util.List;

/**
 * What the holder of a token may see and do. A tenant sees its own volumes; to it, those of others
 * do not exist.
 *
 * @param name of the token, for the audit log
 * @param volumes of a tenant: names, or prefixes that end in {@code *}
 */
public record AccessScope(String name, Role role, List<String> volumes) {
    /** A viewer sees all; an operator may also act. */
    public enum Role {
        TENANT,
        VIEWER,
        OPERATOR
    }

    /** Whether more than a tenant's own volumes is visible. */
    boolean seesAll() {
        return role != Role.TENANT;
    }

    boolean canAct() {
        return role == Role.OPERATOR;
    }

    boolean sees(String volume) {
        return seesAll() || volumes.stream().anyMatch(pattern -> matches(pattern, volume));
    }

    private static boolean matches(String pattern, String volume) {
        return pattern.endsWith("*")
                ? volume.startsWith(pattern.substring(0, pattern.length() - 1))
                : pattern.equals(volume);
    }
}
