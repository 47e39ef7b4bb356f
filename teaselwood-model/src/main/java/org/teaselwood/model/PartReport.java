package org.teaselwood.model;

/**
 * Status of one part of an attempt, as reported by an agent. Immutable.
 *
 * @param attempt the attempt
 * @param part index of the part, from 0
 * @param parts number of parts of the attempt
 * @param phase current phase
 * @param resources resources that the part requires
 * @param firstAccelerator index of the first of the adjacent accelerators, -1 for none
 * @param progressPercent progress last reported by the worker, 0 to 100
 * @param checkpoint number of the latest checkpoint, 0 for none
 * @param failure failure message, empty for none
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
