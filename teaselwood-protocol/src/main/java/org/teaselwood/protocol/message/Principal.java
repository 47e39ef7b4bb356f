package org.teaselwood.protocol.message;

/**
 * Authenticated sender of a request. Immutable.
 *
 * @param team team of the caller, empty for an operator
 * @param operator whether the sender is an operator, who has access to all teams and operations
 */
public record Principal(String team, boolean operator) {
    /** Principal of operators. */
    public static final Principal OPERATOR = new Principal("", true);

    /** Returns whether the principal may act on behalf of a team. */
    public boolean mayActFor(String name) {
        return operator || team.equals(name);
    }
}
