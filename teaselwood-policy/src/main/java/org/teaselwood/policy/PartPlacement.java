package org.teaselwood.policy;

/**
 * Where one part of an attempt goes. Immutable.
 *
 * @param part index of the part, from 0
 * @param server name of the backend server
 * @param firstAccelerator first of the adjacent accelerators, -1 when the part takes none
 */
public record PartPlacement(int part, String server, int firstAccelerator) {}
