package org.teaselwood.settings;

import java.util.Map;

/** Parsed values of a section. Immutable. */
public final class SectionValues {
    private final Map<Setting<?>, Object> values;

    SectionValues(Map<Setting<?>, Object> values) {
        this.values = values;
    }

    /** Returns the value of a setting; null if it was missing or invalid. */
    @SuppressWarnings("unchecked")
    public <T> T get(Setting<T> setting) {
        return (T) values.get(setting);
    }

    /** Returns whether a setting has a value; false if it was missing or invalid. */
    public boolean has(Setting<?> setting) {
        return values.containsKey(setting);
    }
}
