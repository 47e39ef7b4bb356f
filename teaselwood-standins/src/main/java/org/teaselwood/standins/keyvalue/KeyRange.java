package org.teaselwood.standins.keyvalue;

/**
 * A range of keys. Immutable.
 *
 * @param from first key
 * @param end first key after the range; empty for the single key {@code from}
 */
public record KeyRange(String from, String end) {
    /** Returns the range of one key. */
    public static KeyRange ofKey(String key) {
        return new KeyRange(key, "");
    }

    /** Returns the range of all keys with a prefix, which must not be empty. */
    public static KeyRange ofPrefix(String prefix) {
        int last = prefix.length() - 1;
        return new KeyRange(prefix, prefix.substring(0, last) + (char) (prefix.charAt(last) + 1));
    }

    /** Returns whether the range contains a key. */
    public boolean contains(String key) {
        return end.isEmpty() ? key.equals(from) : key.compareTo(from) >= 0 && key.compareTo(end) < 0;
    }
}
