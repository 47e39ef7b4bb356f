package org.teaselwood.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.teaselwood.model.ErrorKind;

/**
 * Reads the sections of one settings file and keeps its faults until the whole file was read. Confined to one thread.
 *
 * <p>Use: read every section, then call {@link #finish()}, and only then take values out.
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

    /** Values of a section; a section that is not in the file counts as one without keys. */
    SectionValues section(String name, SectionSchema schema) {
        return schema.parse(find(name).orElseGet(() -> new IniDocument.Section(name, 0, List.of())), faults);
    }

    /** Values of a section that may be missing. */
    Optional<SectionValues> optionalSection(String name, SectionSchema schema) {
        return find(name).map(section -> schema.parse(section, faults));
    }

    /** Values of a section whose keys are names. */
    <T> Map<String, T> namedValues(String name, ValueType<T> type) {
        return find(name)
                .map(section -> SectionSchema.parseNamed(section, type, faults))
                .orElse(Map.of());
    }

    /** Adds a fault of a key unless the condition holds. */
    void require(boolean condition, String section, String key, String problem) {
        if (!condition) {
            int line = document.find(section)
                    .flatMap(found -> found.find(key))
                    .map(IniDocument.Entry::line)
                    .orElse(lines.getOrDefault(section, 0));
            faults.add(section, key, line, problem);
        }
    }

    /** Throws BAD_SETTING with all faults, those of unknown sections included. */
    void finish() {
        document.sections().stream()
                .filter(section -> !known.contains(section.name()))
                .forEach(section -> faults.add(
                        section.name(),
                        "",
                        section.line(),
                        "the section is unknown; the file has " + String.join(", ", known)));
        faults.throwIfAny(ErrorKind.BAD_SETTING);
    }

    private Optional<IniDocument.Section> find(String name) {
        known.add(name);
        Optional<IniDocument.Section> section = document.find(name);
        section.ifPresent(found -> lines.put(name, found.line()));
        return section;
    }
}
