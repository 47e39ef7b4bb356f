package org.teaselwood.policy;

import java.util.Set;
import org.teaselwood.model.Shape;

/**
 * What a search for room depends on, apart from the cluster; jobs with the same demand fit or fail together. Immutable.
 *
 * @param shape what the job takes
 * @param capabilities what its servers must be able to do
 * @param failedServers servers that are left out
 */
record Demand(Shape shape, Set<String> capabilities, Set<String> failedServers) {}
