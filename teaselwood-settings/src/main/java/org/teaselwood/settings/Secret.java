package org.teaselwood.settings;

/**
 * A token or key. Immutable. {@link #toString()} hides the value, so that a settings record can be logged.
 *
 * @param value the secret
 */
public record Secret(String value) {
    /** Minimum length in characters; shorter secrets can be guessed. */
    public static final int MINIMUM_CHARACTERS = 16;

    @Override
    public String toString() {
        return "(secret)";
    }
}
