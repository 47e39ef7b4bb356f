package org.teaselwood.model;

/**
 * The shape of a job or of a guarantee: equal parts, all within one cell of a level. Immutable.
 *
 * @param parts number of parts, each on one backend server, 1 to {@value #MAXIMUM_PARTS}
 * @param part what each part takes
 * @param adjacency the level whose cell holds all parts
 */
public record Shape(int parts, PartResources part, Level adjacency) {
    /** Largest gang. */
    public static final int MAXIMUM_PARTS = 128;

    /** Validates the number of parts. */
    public Shape {
        if (parts < 1 || parts > MAXIMUM_PARTS) {
            throw TeaselwoodException.of(ErrorKind.BAD_REQUEST, "parts must be 1 to " + MAXIMUM_PARTS);
        }
    }

    /** Accelerators of all parts together. */
    public int totalAccelerators() {
        return parts * part.accelerators();
    }
}
