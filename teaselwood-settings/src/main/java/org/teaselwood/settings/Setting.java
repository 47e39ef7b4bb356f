package org.teaselwood.settings;

import java.util.Optional;

/**
 * One key of a section with its type. Immutable.
 *
 * @param <T> type of the value
 * @param key name of the key
 * @param type how its text is parsed
 * @param defaultValue value of a missing key; without one the key is required
 */
public record Setting<T>(String key, ValueType<T> type, Optional<T> defaultValue) {
    /** A key that must be present. */
    public static <T> Setting<T> required(String key, ValueType<T> type) {
        return new Setting<>(key, type, Optional.empty());
    }

    /** A key with a default. */
    public static <T> Setting<T> withDefault(String key, ValueType<T> type, T defaultValue) {
        return new Setting<>(key, type, Optional.of(defaultValue));
    }

    /** A key that may be missing. */
    public static <T> Setting<Optional<T>> optional(String key, ValueType<T> type) {
        return new Setting<>(key, text -> Optional.of(type.parse(text)), Optional.of(Optional.empty()));
    }
}
