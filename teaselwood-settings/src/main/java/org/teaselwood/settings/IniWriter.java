package org.teaselwood.settings;

/** Writer of INI text that {@link IniDocument} parses to the same sections and values. Confined to one thread. */
public final class IniWriter {
    private static final String SPECIAL_CHARACTERS = ";#'\"";

    private final StringBuilder text = new StringBuilder();

    /** Starts a section. */
    public IniWriter section(String name) {
        if (!text.isEmpty()) {
            text.append('\n');
        }
        text.append('[').append(name).append("]\n");
        return this;
    }

    /**
     * Writes a key with its value to the current section.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING when the value is not
     *     {@link ValueTypes#isWritable writable}
     */
    public IniWriter entry(String key, String value) {
        if (!ValueTypes.isWritable(value)) {
            throw ValueTypes.invalidValue("the value of " + key + " cannot be written on one line");
        }
        text.append(key).append(" = ").append(needsQuotes(value) ? quoted(value) : value);
        text.append('\n');
        return this;
    }

    /** Returns the text written so far. */
    public String text() {
        return text.toString();
    }

    /**
     * Returns whether a value must be quoted. The parser treats text after a comment character as a comment, interprets
     * quotes, and strips the spaces around a value.
     */
    static boolean needsQuotes(String value) {
        return !value.equals(value.strip())
                || value.chars().anyMatch(character -> SPECIAL_CHARACTERS.indexOf(character) >= 0);
    }

    private static String quoted(String value) {
        return '"' + value.replace("\"", "\\\"") + '"';
    }
}
