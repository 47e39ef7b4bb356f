package org.teaselwood.model;

/**
 * Shape of a job or of a guarantee: a number of equal parts, all placed within one domain of a topology level, such as
 * one rack. Immutable.
 *
 * @param parts number of parts, each on one backend server, 1 to {@value #MAXIMUM_PARTS}
 * @param part resources of each part
 * @param adjacency topology level of the domain that must contain all parts
 */
public record Shape(int parts, PartResources part, Level adjacency) {
    /** Maximum number of parts of a job. */
    public static final int MAXIMUM_PARTS = 128;

    /** Validates the number of parts. */
    public Shape {
        if (parts < 1 || parts > MAXIMUM_PARTS) {
            throw TeaselwoodException.of(ErrorKind.BAD_REQUEST, "parts must be 1 to " + MAXIMUM_PARTS);
        }
    }

    /** Returns the number of accelerators of all parts together. */
    public int totalAccelerators() {
        return parts * part.accelerators();
    }
}
