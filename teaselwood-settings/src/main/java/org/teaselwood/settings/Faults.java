package org.teaselwood.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/** Collects every fault of one file, so that an operator corrects them in one pass. Confined to one thread. */
public final class Faults {
    private final String file;
    private final List<Fault> list = new ArrayList<>();

    /**
     * One fault.
     *
     * @param section name of the section, empty for none
     * @param key name of the key, empty for the section as a whole
     * @param line line in the file, from 1; 0 when the fault belongs to no line
     * @param problem what is wrong
     */
    public record Fault(String file, String section, String key, int line, String problem) {
        @Override
        public String toString() {
            String position = line > 0 ? file + ":" + line : file;
            String place = section.isEmpty() ? "" : " [" + section + "]" + (key.isEmpty() ? "" : " " + key) + ":";
            return position + ":" + place + " " + problem;
        }
    }

    /** No faults yet of the named file. */
    public Faults(String file) {
        this.file = file;
    }

    /** Adds a fault. */
    public void add(String section, String key, int line, String problem) {
        list.add(new Fault(file, section, key, line, problem));
    }

    /** Adds a fault of an entry. */
    public void add(IniDocument.Section section, IniDocument.Entry entry, String problem) {
        add(section.name(), entry.key(), entry.line(), problem);
    }

    /** The faults so far, ordered by line. */
    public List<Fault> list() {
        return list.stream().sorted(Comparator.comparingInt(Fault::line)).toList();
    }

    /**
     * Ends the reading of a file.
     *
     * @throws TeaselwoodException of the given kind with one line for each fault, if there are any
     */
    public void throwIfAny(ErrorKind kind) {
        if (!list.isEmpty()) {
            throw TeaselwoodException.of(
                    kind, list().stream().map(Fault::toString).collect(Collectors.joining("\n")));
        }
    }
}
