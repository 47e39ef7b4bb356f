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
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING; its message does not name the file and key
     */
    T parse(String text);
}
