package org.teaselwood.settings;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/** Value types of settings and declarations. Thread-safe. */
public final class ValueTypes {
    private static final Pattern QUANTITY = Pattern.compile("(\\d{1,15})\\s*([A-Za-z]*)");
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Map<String, Long> MILLISECONDS =
            units("ms", 1L, "s", 1_000L, "min", 60_000L, "h", 3_600_000L, "d", 86_400_000L);
    private static final Map<String, Long> MEBIBYTES = units("MiB", 1L, "GiB", 1_024L, "TiB", 1_048_576L);

    private ValueTypes() {}

    /** Returns the type of text that is not blank. */
    public static ValueType<String> text() {
        return ValueTypes::notBlank;
    }

    /**
     * Returns the type of names: lower-case letters, digits, {@code .}, {@code _} and {@code -}, at most 63 characters,
     * beginning with a letter or digit.
     */
    public static ValueType<String> name() {
        return text -> {
            if (!isName(text)) {
                throw invalidValue(quoted(text) + " is not a name of lower-case letters, digits, '.', '_' and '-'"
                        + " (at most 63, beginning with a letter or digit)");
            }
            return text;
        };
    }

    /** Returns whether {@link #name()} accepts the text. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Returns whether a text can be written on one line of an INI file and read back unchanged. */
    public static boolean isWritable(String text) {
        return !text.contains("\\\"") && !text.endsWith("\\") && text.chars().noneMatch(Character::isISOControl);
    }

    /** Returns the type of tokens and keys; their text is never included in messages or logs. */
    public static ValueType<Secret> secret() {
        return text -> {
            if (text.length() < Secret.MINIMUM_CHARACTERS) {
                throw invalidValue("a secret must have at least " + Secret.MINIMUM_CHARACTERS + " characters");
            }
            return new Secret(text);
        };
    }

    /** Returns the type of whole numbers within an inclusive range. */
    public static ValueType<Integer> count(int minimum, int maximum) {
        return text -> {
            long value = parseInteger(text);
            requireRange(value, minimum, maximum, "");
            return (int) value;
        };
    }

    /** Returns the type of decimal numbers within an inclusive range. */
    public static ValueType<Double> decimal(double minimum, double maximum) {
        return text -> {
            double value;
            try {
                value = Double.parseDouble(text);
            } catch (NumberFormatException exception) {
                throw invalidValue(quoted(text) + " is not a decimal number");
            }
            if (!(value >= minimum && value <= maximum)) {
                throw invalidValue(text + " is not within " + minimum + " to " + maximum);
            }
            return value;
        };
    }

    /**
     * Returns the type of durations, written with a unit (ms, s, min, h or d) and parsed to milliseconds.
     * The inclusive range is in milliseconds.
     */
    public static ValueType<Long> duration(long minimum, long maximum) {
        return text -> {
            long value = parseQuantity(text, MILLISECONDS, "500 ms");
            requireRange(value, minimum, maximum, " ms");
            return value;
        };
    }

    /**
     * Returns the type of memory sizes, written with a unit (MiB, GiB or TiB) and parsed to MiB.
     * The inclusive range is in MiB.
     */
    public static ValueType<Integer> memory(int minimum, int maximum) {
        return text -> {
            long value = parseQuantity(text, MEBIBYTES, "64 MiB");
            requireRange(value, minimum, maximum, " MiB");
            return (int) value;
        };
    }

    /** Returns the type of IP addresses with a port. */
    public static ValueType<NetworkAddress> address() {
        return NetworkAddress::parse;
    }

    /** Returns the type of file paths; does not check that the file exists. */
    public static ValueType<Path> path() {
        return text -> {
            try {
                return Path.of(notBlank(text));
            } catch (InvalidPathException exception) {
                throw invalidValue(quoted(text) + " is not a path");
            }
        };
    }

    /** Returns the type of the constants of an enum, written in lower case with hyphens. */
    public static <E extends Enum<E>> ValueType<E> choice(Class<E> type) {
        return text -> Arrays.stream(type.getEnumConstants())
                .filter(constant -> choiceText(constant).equals(text))
                .findFirst()
                .orElseThrow(() -> invalidValue(quoted(text) + " is not one of "
                        + String.join(
                                ", ",
                                Arrays.stream(type.getEnumConstants())
                                        .map(ValueTypes::choiceText)
                                        .toList())));
    }

    /** Returns the text of an enum constant in a file: lower case with hyphens. */
    public static String choiceText(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the type of {@code yes} or {@code no}. */
    public static ValueType<Boolean> flag() {
        return text -> switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw invalidValue(quoted(text) + " is neither yes nor no");
        };
    }

    /** Returns the type of comma-separated lists without duplicates; blank text gives the empty list. */
    public static <T> ValueType<List<T>> listOf(ValueType<T> element) {
        return text -> {
            if (text.isBlank()) {
                return List.of();
            }
            List<T> values = Arrays.stream(text.split(",", -1))
                    .map(String::strip)
                    .map(element::parse)
                    .toList();
            if (values.stream().distinct().count() < values.size()) {
                throw invalidValue("the list contains a duplicate element");
            }
            return values;
        };
    }

    /** Returns the type of comma-separated lists without duplicates and with at least one element. */
    public static <T> ValueType<List<T>> nonEmptyListOf(ValueType<T> element) {
        return text -> listOf(element).parse(notBlank(text));
    }

    /** Returns an exception of kind BAD_SETTING for an invalid value. */
    public static TeaselwoodException invalidValue(String text) {
        return TeaselwoodException.of(ErrorKind.BAD_SETTING, text);
    }

    private static String notBlank(String text) {
        if (text.isBlank()) {
            throw invalidValue("the value is empty");
        }
        return text;
    }

    private static long parseInteger(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException exception) {
            throw invalidValue(quoted(text) + " is not a whole number");
        }
    }

    private static long parseQuantity(String text, Map<String, Long> units, String example) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches()) {
            throw invalidValue(quoted(text) + " is not a whole number with a unit, for example " + example);
        }
        Long factor = units.get(matcher.group(2));
        if (factor == null) {
            String problem =
                    matcher.group(2).isEmpty() ? "the unit is missing" : "the unit " + matcher.group(2) + " is unknown";
            throw invalidValue(problem + "; use one of " + String.join(", ", units.keySet()));
        }
        try {
            return Math.multiplyExact(Long.parseLong(matcher.group(1)), factor);
        } catch (ArithmeticException exception) {
            throw invalidValue(quoted(text) + " is too large");
        }
    }

    private static void requireRange(long value, long minimum, long maximum, String unit) {
        if (value < minimum || value > maximum) {
            throw invalidValue(value + unit + " is not within " + minimum + " to " + maximum + unit);
        }
    }

    private static String quoted(String text) {
        return "'" + text + "'";
    }

    private static Map<String, Long> units(Object... pairs) {
        Map<String, Long> units = new LinkedHashMap<>();
        for (int index = 0; index < pairs.length; index += 2) {
            units.put((String) pairs[index], (Long) pairs[index + 1]);
        }
        return units;
    }
}
