package org.teaselwood.settings;

/**
 * Type of a setting's value.
 *
 * @param <T> type of the parsed value
 */
@FunctionalInterface
public interface ValueType<T> {
    /**
     * Parses the text of a value.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING with the problem alone as message
     */
    T parse(String text);
}
