package org.teaselwood.settings;

import java.util.Optional;

/**
 * One key of a section with its type. Immutable.
 *
 * @param <T> type of the value
 * @param key name of the key
 * @param type type that parses the text of the value
 * @param defaultValue value used if the key is missing; empty if the key is required
 */
public record Setting<T>(String key, ValueType<T> type, Optional<T> defaultValue) {
    /** Returns a setting whose key must be present. */
    public static <T> Setting<T> required(String key, ValueType<T> type) {
        return new Setting<>(key, type, Optional.empty());
    }

    /** Returns a setting with a default value. */
    public static <T> Setting<T> withDefault(String key, ValueType<T> type, T defaultValue) {
        return new Setting<>(key, type, Optional.of(defaultValue));
    }

    /** Returns a setting that may be missing, and is then empty. */
    public static <T> Setting<Optional<T>> optional(String key, ValueType<T> type) {
        return new Setting<>(key, text -> Optional.of(type.parse(text)), Optional.of(Optional.empty()));
    }
}
