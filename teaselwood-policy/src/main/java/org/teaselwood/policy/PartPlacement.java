package org.teaselwood.policy;

/**
 * Position of one part of an attempt. Immutable.
 *
 * @param part index of the part, from 0
 * @param server name of the backend server
 * @param firstAccelerator first of the adjacent accelerators, -1 if the part uses none or its position is unknown
 */
public record PartPlacement(int part, String server, int firstAccelerator) {}
