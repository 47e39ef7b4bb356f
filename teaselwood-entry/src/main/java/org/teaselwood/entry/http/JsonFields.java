package org.teaselwood.entry.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/**
 * Typed reads of one JSON object from a caller. Every error is a BAD_REQUEST that names the field. {@link #finish()}
 * refuses fields that nothing read, so that a misspelt optional field is not ignored.
 */
public final class JsonFields {
    private final JsonObject object;
    private final String path;
    private final Set<String> read = new HashSet<>();

    private JsonFields(JsonObject object, String path) {
        this.object = object;
        this.path = path;
    }

    /** Fields of the object in a body. */
    public static JsonFields of(Buffer body) {
        if (body == null || body.length() == 0) {
            throw bad("the body is empty; a JSON object is expected");
        }
        try {
            return new JsonFields(new JsonObject(body), "");
        } catch (DecodeException | ClassCastException exception) {
            throw TeaselwoodException.causedBy(exception, ErrorKind.BAD_REQUEST, "the body is not a JSON object");
        }
    }

    /** Fields of an object that has been decoded. */
    public static JsonFields of(JsonObject object) {
        return new JsonFields(object, "");
    }

    /** A required text. */
    public String text(String name) {
        return optionalText(name).orElseThrow(() -> bad(path + name + " is required"));
    }

    /** An optional text. */
    public Optional<String> optionalText(String name) {
        return Optional.ofNullable(value(name, String.class, "a text"));
    }

    /** An optional truth value. */
    public boolean flag(String name, boolean defaultValue) {
        Boolean value = value(name, Boolean.class, "true or false");
        return value == null ? defaultValue : value;
    }

    /** An optional whole number within a range. */
    public long number(String name, long defaultValue, long least, long most) {
        Number value = value(name, Number.class, "a number");
        if (value == null) {
            return defaultValue;
        }
        long number = value.longValue();
        if (number != value.doubleValue() || number < least || number > most) {
            throw bad(path + name + " must be a whole number from " + least + " to " + most);
        }
        return number;
    }

    /** An optional whole number within a range. */
    public int integer(String name, int defaultValue, int least, int most) {
        return (int) number(name, defaultValue, least, most);
    }

    /** A constant by its lower-case name with hyphens. */
    public <T extends Enum<T>> T constant(String name, Class<T> type) {
        String text = text(name);
        try {
            return Enum.valueOf(type, text.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException exception) {
            throw TeaselwoodException.causedBy(
                    exception, ErrorKind.BAD_REQUEST, path + name + ": " + text + " is not a known value");
        }
    }

    /** Texts by name; empty when the field is missing. */
    public Map<String, String> texts(String name) {
        JsonObject value = value(name, JsonObject.class, "an object");
        Map<String, String> texts = new TreeMap<>();
        if (value != null) {
            value.forEach(
                    field -> texts.put(field.getKey(), textOf(path + name + "." + field.getKey(), field.getValue())));
        }
        return texts;
    }

    /** A list of texts; empty when the field is missing. */
    public List<String> textList(String name) {
        return array(name).stream().map(value -> textOf(path + name, value)).toList();
    }

    /** A list of objects; empty when the field is missing. */
    public List<JsonFields> objects(String name) {
        return array(name).stream()
                .map(value -> {
                    if (value instanceof JsonObject member) {
                        return new JsonFields(member, path + name + ".");
                    }
                    throw bad(path + name + " must hold objects");
                })
                .toList();
    }

    /** A required object. */
    public JsonFields object(String name) {
        JsonObject value = value(name, JsonObject.class, "an object");
        if (value == null) {
            throw bad(path + name + " is required");
        }
        return new JsonFields(value, path + name + ".");
    }

    /** Refuses fields that were not read. */
    public void finish() {
        object.fieldNames().stream()
                .filter(name -> !read.contains(name))
                .sorted()
                .findFirst()
                .ifPresent(name -> {
                    throw bad("field " + path + name + " is not known");
                });
    }

    private JsonArray array(String name) {
        JsonArray value = value(name, JsonArray.class, "a list");
        return value == null ? new JsonArray() : value;
    }

    private <T> T value(String name, Class<T> type, String expected) {
        read.add(name);
        Object value = object.getValue(name);
        if (value != null && !type.isInstance(value)) {
            throw bad(path + name + " must be " + expected);
        }
        return type.cast(value);
    }

    private static String textOf(String name, Object value) {
        if (value instanceof String || value instanceof Number || value instanceof Boolean) {
            return value.toString();
        }
        throw bad(name + " must be a text");
    }

    private static TeaselwoodException bad(String detail) {
        return TeaselwoodException.of(ErrorKind.BAD_REQUEST, detail);
    }
}
