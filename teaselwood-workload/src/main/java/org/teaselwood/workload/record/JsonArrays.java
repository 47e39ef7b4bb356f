package org.teaselwood.workload.record;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Elements of JSON arrays as streams of one type. Stateless. An element of another type fails when it is read. */
public final class JsonArrays {
    private JsonArrays() {}

    /** Elements that are objects. */
    public static Stream<JsonObject> objects(JsonArray array) {
        return elements(array, array::getJsonObject);
    }

    /** Elements that are arrays. */
    public static Stream<JsonArray> arrays(JsonArray array) {
        return elements(array, array::getJsonArray);
    }

    /** Elements that are strings. */
    public static Stream<String> strings(JsonArray array) {
        return elements(array, array::getString);
    }

    /** Elements that are whole numbers. */
    public static Stream<Integer> integers(JsonArray array) {
        return elements(array, array::getInteger);
    }

    private static <T> Stream<T> elements(JsonArray array, IntFunction<T> element) {
        return IntStream.range(0, array.size()).mapToObj(element);
    }
}
