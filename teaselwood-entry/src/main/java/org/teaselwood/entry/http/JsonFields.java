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
import org.teaselwood.store.JsonDocuments;

/**
 * Typed access to the fields of one JSON object of a request. Every error is a {@link TeaselwoodException} of kind
 * BAD_REQUEST that names the field. {@link #rejectUnknownFields()} rejects fields that were not read, so that a
 * misspelt optional field is reported instead of ignored. Not thread-safe.
 */
public final class JsonFields {
    private final JsonObject object;
    private final String path;
    private final Set<String> read = new HashSet<>();

    private JsonFields(JsonObject object, String path) {
        this.object = object;
        this.path = path;
    }

    /** Parses a request body as a JSON object. */
    public static JsonFields of(Buffer body) {
        if (body == null || body.length() == 0) {
            throw badRequest("the body is empty; a JSON object is expected");
        }
        try {
            return new JsonFields(JsonDocuments.parse(body), "");
        } catch (DecodeException | ClassCastException exception) {
            throw TeaselwoodException.causedBy(exception, ErrorKind.BAD_REQUEST, "the body is not a JSON object");
        }
    }

    /** Returns the fields of a decoded object. */
    public static JsonFields of(JsonObject object) {
        return new JsonFields(object, "");
    }

    /** Returns a required string. */
    public String text(String name) {
        return optionalText(name).orElseThrow(() -> badRequest(path + name + " is required"));
    }

    /** Returns an optional string. */
    public Optional<String> optionalText(String name) {
        return Optional.ofNullable(value(name, String.class, "a string"));
    }

    /** Returns an optional boolean. */
    public boolean flag(String name, boolean defaultValue) {
        Boolean value = value(name, Boolean.class, "true or false");
        return value == null ? defaultValue : value;
    }

    /** Returns an optional whole number within an inclusive range. */
    public long number(String name, long defaultValue, long minimum, long maximum) {
        Number value = value(name, Number.class, "a number");
        if (value == null) {
            return defaultValue;
        }
        long number = value.longValue();
        if (number != value.doubleValue() || number < minimum || number > maximum) {
            throw badRequest(path + name + " must be a whole number from " + minimum + " to " + maximum);
        }
        return number;
    }

    /** Returns an optional whole number within an inclusive range, which must be a range of {@code int}. */
    public int integer(String name, int defaultValue, int minimum, int maximum) {
        return (int) number(name, defaultValue, minimum, maximum);
    }

    /** Returns a required enum constant, given by its name in lower case with hyphens. */
    public <T extends Enum<T>> T constant(String name, Class<T> type) {
        String text = text(name);
        try {
            return Enum.valueOf(type, text.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException exception) {
            throw TeaselwoodException.causedBy(
                    exception, ErrorKind.BAD_REQUEST, path + name + ": " + text + " is not a known value");
        }
    }

    /** Returns an object with string values as a map; empty if the field is missing. */
    public Map<String, String> textMap(String name) {
        JsonObject value = value(name, JsonObject.class, "an object");
        Map<String, String> texts = new TreeMap<>();
        if (value != null) {
            value.forEach(
                    field -> texts.put(field.getKey(), textOf(path + name + "." + field.getKey(), field.getValue())));
        }
        return texts;
    }

    /** Returns an array of strings; empty if the field is missing. */
    public List<String> textList(String name) {
        return array(name).stream().map(value -> textOf(path + name, value)).toList();
    }

    /** Returns an array of objects; empty if the field is missing. */
    public List<JsonFields> objects(String name) {
        return array(name).stream()
                .map(value -> {
                    if (value instanceof JsonObject member) {
                        return new JsonFields(member, path + name + ".");
                    }
                    throw badRequest(path + name + " must contain only objects");
                })
                .toList();
    }

    /** Returns a required object. */
    public JsonFields object(String name) {
        JsonObject value = value(name, JsonObject.class, "an object");
        if (value == null) {
            throw badRequest(path + name + " is required");
        }
        return new JsonFields(value, path + name + ".");
    }

    /** Throws an exception if the object has a field that was not read. */
    public void rejectUnknownFields() {
        object.fieldNames().stream()
                .filter(name -> !read.contains(name))
                .sorted()
                .findFirst()
                .ifPresent(name -> {
                    throw badRequest("field " + path + name + " is unknown");
                });
    }

    private JsonArray array(String name) {
        JsonArray value = value(name, JsonArray.class, "an array");
        return value == null ? new JsonArray() : value;
    }

    private <T> T value(String name, Class<T> type, String expected) {
        read.add(name);
        Object value = object.getValue(name);
        if (value != null && !type.isInstance(value)) {
            throw badRequest(path + name + " must be " + expected);
        }
        return type.cast(value);
    }

    private static String textOf(String name, Object value) {
        if (value instanceof String || value instanceof Number || value instanceof Boolean) {
            return value.toString();
        }
        throw badRequest(name + " must be a string");
    }

    private static TeaselwoodException badRequest(String detail) {
        return TeaselwoodException.of(ErrorKind.BAD_REQUEST, detail);
    }
}
