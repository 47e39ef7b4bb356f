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
 * <p>Usage: read every section, then call {@link #finish()}; only after that are the values complete.
 */
final class SettingsFile {
    private final IniDocument document;
    private final Faults faults;
    private final Set<String> known = new TreeSet<>();
    private final Map<String, Integer> lines = new HashMap<>();

    SettingsFile(IniDocument document) {
        this.document = document;
        this.faults = new Faults(document.file());
    }

    /** Returns the values of a section; a section that is missing from the file is treated as empty. */
    SectionValues section(String name, SectionSchema schema) {
        return schema.parse(find(name).orElseGet(() -> new IniDocument.Section(name, 0, List.of())), faults);
    }

    /** Returns the values of a section, or empty if the file does not have it. */
    Optional<SectionValues> optionalSection(String name, SectionSchema schema) {
        return find(name).map(section -> schema.parse(section, faults));
    }

    /** Returns the values of a section with arbitrary names as keys. */
    <T> Map<String, T> namedValues(String name, ValueType<T> type) {
        return find(name)
                .map(section -> SectionSchema.parseNamed(section, type, faults))
                .orElse(Map.of());
    }

    /** Reports an error at a key unless the condition holds. */
    void require(boolean condition, String section, String key, String problem) {
        if (!condition) {
            int line = document.find(section)
                    .flatMap(found -> found.find(key))
                    .map(IniDocument.Entry::line)
                    .orElse(lines.getOrDefault(section, 0));
            faults.add(section, key, line, problem);
        }
    }

    /** Throws an exception of kind BAD_SETTING if there are any errors, including unknown sections. */
    void finish() {
        document.sections().stream()
                .filter(section -> !known.contains(section.name()))
                .forEach(section -> faults.add(
                        section.name(),
                        "",
                        section.line(),
                        "unknown section; valid sections: " + String.join(", ", known)));
        faults.throwIfAny(ErrorKind.BAD_SETTING);
    }

    private Optional<IniDocument.Section> find(String name) {
        known.add(name);
        Optional<IniDocument.Section> section = document.find(name);
        section.ifPresent(found -> lines.put(name, found.line()));
        return section;
    }
}
