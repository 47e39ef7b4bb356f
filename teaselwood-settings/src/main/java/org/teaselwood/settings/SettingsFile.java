package org.teaselwood.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.teaselwood.model.ErrorKind;

/**
 * Reader of one settings file that collects errors until all sections have been read. Confined to one thread.
 *
 * <p>Usage: read every section, then call {@link #throwIfInvalid()}; only after that are the values complete.
 */
final class SettingsFile {
    private final IniDocument document;
    private final ValidationErrors errors;
    private final Set<String> knownSections = new TreeSet<>();
    private final Map<String, Integer> sectionLines = new HashMap<>();

    SettingsFile(IniDocument document) {
        this.document = document;
        this.errors = new ValidationErrors(document.file());
    }

    /** Returns the values of a section; a section that is missing from the file is treated as empty. */
    SectionValues section(String name, SectionSchema schema) {
        return schema.parse(find(name).orElseGet(() -> new IniDocument.Section(name, 0, List.of())), errors);
    }

    /** Returns the values of a section, or empty if the file does not have it. */
    Optional<SectionValues> optionalSection(String name, SectionSchema schema) {
        return find(name).map(section -> schema.parse(section, errors));
    }

    /** Returns the values of a section with arbitrary names as keys. */
    <T> Map<String, T> mapSection(String name, ValueType<T> type) {
        return find(name)
                .map(section -> SectionSchema.parseMap(section, type, errors))
                .orElse(Map.of());
    }

    /** Reports an error at a key unless the condition holds. */
    void require(boolean condition, String section, String key, String message) {
        if (!condition) {
            int line = document.find(section)
                    .flatMap(found -> found.find(key))
                    .map(IniDocument.Entry::line)
                    .orElse(sectionLines.getOrDefault(section, 0));
            errors.add(section, key, line, message);
        }
    }

    /** Throws an exception of kind BAD_SETTING if there are any errors, including unknown sections. */
    void throwIfInvalid() {
        document.sections().stream()
                .filter(section -> !knownSections.contains(section.name()))
                .forEach(section -> errors.add(
                        section.name(),
                        "",
                        section.line(),
                        "unknown section; valid sections: " + String.join(", ", knownSections)));
        errors.throwIfAny(ErrorKind.BAD_SETTING);
    }

    private Optional<IniDocument.Section> find(String name) {
        knownSections.add(name);
        Optional<IniDocument.Section> section = document.find(name);
        section.ifPresent(found -> sectionLines.put(name, found.line()));
        return section;
    }
}
