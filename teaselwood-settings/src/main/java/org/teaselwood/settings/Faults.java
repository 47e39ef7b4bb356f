package org.teaselwood.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/** All errors found in one file, so that an operator can correct them in one pass. Confined to one thread. */
public final class Faults {
    private final String file;
    private final List<Fault> list = new ArrayList<>();

    /**
     * One error in a file.
     *
     * @param section name of the section, empty for none
     * @param key name of the key, empty for the section as a whole
     * @param line line number in the file, from 1; 0 when no line applies
     * @param problem description of the error
     */
    public record Fault(String file, String section, String key, int line, String problem) {
        @Override
        public String toString() {
            String position = line > 0 ? file + ":" + line : file;
            String place = section.isEmpty() ? "" : " [" + section + "]" + (key.isEmpty() ? "" : " " + key) + ":";
            return position + ":" + place + " " + problem;
        }
    }

    /** Creates an empty collection for the named file. */
    public Faults(String file) {
        this.file = file;
    }

    /** Adds an error. The line number starts at 1; 0 means that no line applies. */
    public void add(String section, String key, int line, String problem) {
        list.add(new Fault(file, section, key, line, problem));
    }

    /** Adds an error at the line of an entry. */
    public void add(IniDocument.Section section, IniDocument.Entry entry, String problem) {
        add(section.name(), entry.key(), entry.line(), problem);
    }

    /** Returns the errors added so far, ordered by line. */
    public List<Fault> list() {
        return list.stream().sorted(Comparator.comparingInt(Fault::line)).toList();
    }

    /**
     * Throws an exception that lists all errors, if there are any.
     *
     * @throws TeaselwoodException of the given kind with one line for each error
     */
    public void throwIfAny(ErrorKind kind) {
        if (!list.isEmpty()) {
            throw TeaselwoodException.of(
                    kind, list().stream().map(Fault::toString).collect(Collectors.joining("\n")));
        }
    }
}
