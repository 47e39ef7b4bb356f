package org.teaselwood.workload.record;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Converts JSON arrays to streams of one element type. Stateless. Reading an element of another type fails with a
 * {@link ClassCastException}.
 */
public final class JsonArrays {
    private JsonArrays() {}

    /** Returns the elements of an array of objects. */
    public static Stream<JsonObject> objects(JsonArray array) {
        return elements(array, array::getJsonObject);
    }

    /** Returns the elements of an array of arrays. */
    public static Stream<JsonArray> arrays(JsonArray array) {
        return elements(array, array::getJsonArray);
    }

    /** Returns the elements of an array of strings. */
    public static Stream<String> strings(JsonArray array) {
        return elements(array, array::getString);
    }

    /** Returns the elements of an array of integers. */
    public static Stream<Integer> integers(JsonArray array) {
        return elements(array, array::getInteger);
    }

    private static <T> Stream<T> elements(JsonArray array, IntFunction<T> element) {
        return IntStream.range(0, array.size()).mapToObj(element);
    }
}
