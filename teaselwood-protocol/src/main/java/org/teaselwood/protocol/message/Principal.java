package org.teaselwood.protocol.message;

/**
 * Who makes a request. Immutable.
 *
 * @param team the caller's team, empty for an operator
 * @param operator whether this is an operator, who may see and do everything
 */
public record Principal(String team, boolean operator) {
    /** The operator. */
    public static final Principal OPERATOR = new Principal("", true);

    /** Whether the principal may act for a team. */
    public boolean mayActFor(String name) {
        return operator || team.equals(name);
    }
}
