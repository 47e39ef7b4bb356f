package org.teaselwood.policy;

import java.util.List;

/**
 * Positions kept free for a job until the attempts that hold them have stopped. Immutable.
 *
 * @param placements the positions
 * @param sinceMilliseconds time of the claim
 */
record Claim(List<PartPlacement> placements, long sinceMilliseconds) {}
