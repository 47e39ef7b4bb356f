package org.teaselwood.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Line numbers of the sections and keys of an INI text. Immutable once built.
 *
 * <p>The INI library keeps no line numbers and silently merges duplicate sections and keys. This index provides the
 * line numbers, and reports duplicates and lines that the library would ignore.
 */
final class LineIndex {
    private final Map<String, Integer> lines = new HashMap<>();

    private LineIndex() {}

    /** Builds the index of a text and reports malformed lines as errors. */
    static LineIndex of(String text, ValidationErrors errors) {
        LineIndex index = new LineIndex();
        List<String> all = text.lines().toList();
        String section = null;
        for (int number = 1; number <= all.size(); number++) {
            String line = all.get(number - 1).strip();
            if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
                continue;
            }
            if (line.startsWith("[")) {
                section = index.addSection(line, number, errors);
            } else {
                index.addKey(section, line, number, errors);
            }
        }
        return index;
    }

    /** Returns the line of a key, or of the section if the key is empty; 0 if not found. */
    int lineOf(String section, String key) {
        return lines.getOrDefault(keyOf(section, key), 0);
    }

    private String addSection(String line, int number, ValidationErrors errors) {
        String name = line.endsWith("]") ? line.substring(1, line.length() - 1) : "";
        if (name.isBlank() || !name.equals(name.strip())) {
            errors.add(line, "", number, "a section must be written as [name]");
            return name;
        }
        Integer firstLine = lines.putIfAbsent(keyOf(name, ""), number);
        if (firstLine != null) {
            errors.add(name, "", number, "duplicate section; first defined on line " + firstLine);
        }
        return name;
    }

    private void addKey(String section, String line, int number, ValidationErrors errors) {
        int separator = line.indexOf('=');
        if (section == null) {
            errors.add("", "", number, "a key must follow a section header");
            return;
        }
        if (separator < 1) {
            errors.add(section, "", number, "the line is not of the form key = value");
            return;
        }
        String key = line.substring(0, separator).strip();
        if (line.endsWith("\\")) {
            errors.add(
                    section, key, number, "a line must not end with a backslash; continuation lines are not supported");
        }
        Integer firstLine = lines.putIfAbsent(keyOf(section, key), number);
        if (firstLine != null) {
            errors.add(section, key, number, "duplicate key; first defined on line " + firstLine);
        }
    }

    private static String keyOf(String section, String key) {
        return section + "\n" + key;
    }
}
