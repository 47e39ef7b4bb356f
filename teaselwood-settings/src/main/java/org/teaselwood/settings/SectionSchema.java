package org.teaselwood.settings;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.teaselwood.model.TeaselwoodException;

/**
 * The keys that a section may have. Immutable.
 *
 * @param settings the keys
 */
public record SectionSchema(List<Setting<?>> settings) {
    /** Copies the list. */
    public SectionSchema {
        settings = List.copyOf(settings);
    }

    /** Returns a schema of the given keys. */
    public static SectionSchema of(Setting<?>... settings) {
        return new SectionSchema(Arrays.asList(settings));
    }

    /** Parses a section; reports unknown keys, missing required keys and invalid values as errors. */
    public SectionValues parse(IniDocument.Section section, ValidationErrors errors) {
        section.entries().stream()
                .filter(entry ->
                        settings.stream().noneMatch(setting -> setting.key().equals(entry.key())))
                .forEach(entry -> errors.add(section, entry, "unknown key; valid keys: " + keyList()));
        Map<Setting<?>, Object> values = new HashMap<>();
        settings.forEach(setting -> parseSetting(section, setting, errors, values));
        return new SectionValues(values);
    }

    /** Parses a section with arbitrary names as keys, whose values all have the same type. */
    public static <T> Map<String, T> parseMap(IniDocument.Section section, ValueType<T> type, ValidationErrors errors) {
        Map<String, T> values = new TreeMap<>();
        for (IniDocument.Entry entry : section.entries()) {
            try {
                values.put(ValueTypes.name().parse(entry.key()), type.parse(entry.value()));
            } catch (TeaselwoodException exception) {
                errors.add(section, entry, exception.getMessage());
            }
        }
        return values;
    }

    private void parseSetting(
            IniDocument.Section section, Setting<?> setting, ValidationErrors errors, Map<Setting<?>, Object> values) {
        IniDocument.Entry entry = section.find(setting.key()).orElse(null);
        if (entry == null) {
            setting.defaultValue()
                    .ifPresentOrElse(
                            value -> values.put(setting, value),
                            () -> errors.add(section.name(), setting.key(), section.line(), "the key is missing"));
            return;
        }
        try {
            values.put(setting, setting.type().parse(entry.value()));
        } catch (TeaselwoodException exception) {
            errors.add(section, entry, exception.getMessage());
        }
    }

    private String keyList() {
        return settings.stream().map(Setting::key).sorted().collect(Collectors.joining(", "));
    }
}
