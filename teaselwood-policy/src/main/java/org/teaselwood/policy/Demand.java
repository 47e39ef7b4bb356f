package org.teaselwood.policy;

import java.util.Set;
import org.teaselwood.model.Shape;

/**
 * Job properties on which the outcome of a capacity search depends; jobs with the same demand fit or fail together.
 * Immutable.
 *
 * @param shape resources of the job
 * @param capabilities capabilities that its servers must have
 * @param failedServers servers that are excluded
 */
record Demand(Shape shape, Set<String> capabilities, Set<String> failedServers) {}
