package org.teaselwood.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/** All errors found in one file, so that an operator can correct them in one pass. Confined to one thread. */
public final class ValidationErrors {
    private final String file;
    private final List<ValidationError> errors = new ArrayList<>();

    /**
     * One error in a file.
     *
     * @param section name of the section, empty for none
     * @param key name of the key, empty for the section as a whole
     * @param line line number in the file, from 1; 0 when no line applies
     * @param message description of the error
     */
    public record ValidationError(String file, String section, String key, int line, String message) {
        @Override
        public String toString() {
            String position = line > 0 ? file + ":" + line : file;
            String place = section.isEmpty() ? "" : " [" + section + "]" + (key.isEmpty() ? "" : " " + key) + ":";
            return position + ":" + place + " " + message;
        }
    }

    /** Creates an empty collection for the named file. */
    public ValidationErrors(String file) {
        this.file = file;
    }

    /** Adds an error. The line number starts at 1; 0 means that no line applies. */
    public void add(String section, String key, int line, String message) {
        errors.add(new ValidationError(file, section, key, line, message));
    }

    /** Adds an error at the line of an entry. */
    public void add(IniDocument.Section section, IniDocument.Entry entry, String message) {
        add(section.name(), entry.key(), entry.line(), message);
    }

    /** Returns the errors added so far, ordered by line. */
    public List<ValidationError> errors() {
        return errors.stream()
                .sorted(Comparator.comparingInt(ValidationError::line))
                .toList();
    }

    /**
     * Throws an exception that lists all errors, if there are any.
     *
     * @throws TeaselwoodException of the given kind with one line for each error
     */
    public void throwIfAny(ErrorKind kind) {
        if (!errors.isEmpty()) {
            throw TeaselwoodException.of(
                    kind, errors().stream().map(ValidationError::toString).collect(Collectors.joining("\n")));
        }
    }
}
