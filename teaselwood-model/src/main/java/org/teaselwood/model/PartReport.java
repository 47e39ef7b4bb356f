package org.teaselwood.model;

/**
 * What an agent reports of one part of an attempt. Immutable.
 *
 * @param attempt the attempt
 * @param part index of the part, from 0
 * @param parts number of parts of the attempt
 * @param phase present phase
 * @param resources what the part takes
 * @param firstAccelerator first of the adjacent accelerators, -1 for none
 * @param progressPercent 0 to 100, as the worker last reported it
 * @param checkpoint number of the newest checkpoint, 0 for none
 * @param failure text of the failure, empty for none
 */
public record PartReport(
        AttemptIdentifier attempt,
        int part,
        int parts,
        PartPhase phase,
        PartResources resources,
        int firstAccelerator,
        int progressPercent,
        int checkpoint,
        String failure) {}
