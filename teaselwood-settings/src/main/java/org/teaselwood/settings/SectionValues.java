package org.teaselwood.settings;

import java.util.Map;

/** Parsed values of a section. Immutable. */
public final class SectionValues {
    private final Map<Setting<?>, Object> values;

    SectionValues(Map<Setting<?>, Object> values) {
        this.values = values;
    }

    /** The value of a setting, null when it had a fault. */
    @SuppressWarnings("unchecked")
    public <T> T get(Setting<T> setting) {
        return (T) values.get(setting);
    }

    /** Whether a setting has a value; false when it had a fault. */
    public boolean has(Setting<?> setting) {
        return values.containsKey(setting);
    }
}
