package org.teaselwood.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Line numbers of the sections and keys of an INI text. Immutable once built.
 *
 * <p>The INI library keeps no line numbers and silently merges sections and keys that stand twice, so this index finds
 * both, and rejects the lines that the library would ignore.
 */
final class LineIndex {
    private final Map<String, Integer> lines = new HashMap<>();

    private LineIndex() {}

    /** Indexes a text; lines that cannot be understood become faults. */
    static LineIndex of(String text, Faults faults) {
        LineIndex index = new LineIndex();
        List<String> all = text.lines().toList();
        String section = null;
        for (int number = 1; number <= all.size(); number++) {
            String line = all.get(number - 1).strip();
            if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
                continue;
            }
            if (line.startsWith("[")) {
                section = index.addSection(line, number, faults);
            } else {
                index.addKey(section, line, number, faults);
            }
        }
        return index;
    }

    /** Line of a key, or of the section when the key is empty; 0 when unknown. */
    int lineOf(String section, String key) {
        return lines.getOrDefault(position(section, key), 0);
    }

    private String addSection(String line, int number, Faults faults) {
        String name = line.endsWith("]") ? line.substring(1, line.length() - 1) : "";
        if (name.isBlank() || !name.equals(name.strip())) {
            faults.add(line, "", number, "a section must be written as [name]");
            return name;
        }
        Integer earlier = lines.putIfAbsent(position(name, ""), number);
        if (earlier != null) {
            faults.add(name, "", number, "the section stands already in line " + earlier);
        }
        return name;
    }

    private void addKey(String section, String line, int number, Faults faults) {
        int separator = line.indexOf('=');
        if (section == null) {
            faults.add("", "", number, "a key must stand below a section");
            return;
        }
        if (separator < 1) {
            faults.add(section, "", number, "the line is not of the form key = value");
            return;
        }
        String key = line.substring(0, separator).strip();
        if (line.endsWith("\\")) {
            faults.add(section, key, number, "a value must not continue on the next line");
        }
        Integer earlier = lines.putIfAbsent(position(section, key), number);
        if (earlier != null) {
            faults.add(section, key, number, "the key stands already in line " + earlier);
        }
    }

    private static String position(String section, String key) {
        return section + "\n" + key;
    }
}
