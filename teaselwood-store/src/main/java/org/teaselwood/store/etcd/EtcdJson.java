package org.teaselwood.store.etcd;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.stream.Stream;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.TransactionResult;

/**
 * Encoder of requests to etcd's v3 JSON gateway and decoder of its responses. Thread-safe.
 *
 * <p>The gateway encodes bytes in standard Base64, unlike JsonObject, which uses another variant. It encodes 64-bit
 * numbers as strings, and omits fields with their default value.
 */
final class EtcdJson {
    private EtcdJson() {}

    static JsonObject rangeOfKey(String key) {
        return new JsonObject().put("key", encode(bytes(key)));
    }

    static JsonObject rangeOfPrefix(String prefix) {
        return rangeOfKey(prefix).put("range_end", encode(rangeEnd(prefix))).put("sort_target", "KEY");
    }

    static JsonObject watchOfPrefix(String prefix) {
        JsonObject create =
                new JsonObject().put("key", encode(bytes(prefix))).put("range_end", encode(rangeEnd(prefix)));
        return new JsonObject().put("create_request", create);
    }

    static JsonObject transaction(KeyValueTransaction transaction) {
        JsonArray compare = new JsonArray();
        transaction.conditions().forEach(condition -> compare.add(condition(condition)));
        JsonArray success = new JsonArray();
        transaction.operations().forEach(operation -> success.add(operation(operation)));
        return new JsonObject().put("compare", compare).put("success", success);
    }

    static JsonObject leaseGrant(long seconds) {
        return new JsonObject().put("TTL", String.valueOf(seconds)).put("ID", "0");
    }

    static JsonObject leaseKeepAlive(long lease) {
        return new JsonObject().put("ID", String.valueOf(lease));
    }

    /** Returns the key-value pairs in a range response. */
    static List<KeyValue> pairs(JsonObject response) {
        return objects(response, "kvs").map(EtcdJson::pair).toList();
    }

    static TransactionResult transactionResult(JsonObject response) {
        return new TransactionResult(response.getBoolean("succeeded", false), revision(response));
    }

    /** Returns the changes in a watch response; a deleted key has an empty value. */
    static List<KeyValue> changes(JsonObject result) {
        return objects(result, "events")
                .map(event -> pair(event.getJsonObject("kv")))
                .toList();
    }

    /** Returns the revision of the service from the header of a response. */
    static long revision(JsonObject response) {
        JsonObject header = response.getJsonObject("header");
        if (header == null) {
            throw malformed("the header is missing");
        }
        return number(header, "revision");
    }

    /** Returns a 64-bit number; 0 if the field is missing. */
    static long number(JsonObject object, String name) {
        Object value = object.getValue(name);
        try {
            return value == null ? 0 : Long.parseLong(value.toString());
        } catch (NumberFormatException exception) {
            throw malformed(name + " is not a number");
        }
    }

    static TeaselwoodException malformed(String detail) {
        return TeaselwoodException.of(ErrorKind.STORE_UNAVAILABLE, "malformed response: " + detail);
    }

    private static Stream<JsonObject> objects(JsonObject response, String name) {
        JsonArray array = response.getJsonArray(name, new JsonArray());
        return array.stream().map(JsonObject.class::cast);
    }

    private static KeyValue pair(JsonObject object) {
        String key = new String(decode(object, "key"), StandardCharsets.UTF_8);
        return new KeyValue(key, decode(object, "value"), number(object, "mod_revision"));
    }

    private static JsonObject condition(KeyValueCondition condition) {
        return new JsonObject()
                .put("key", encode(bytes(condition.key())))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", String.valueOf(condition.revision()));
    }

    private static JsonObject operation(KeyValueOperation operation) {
        JsonObject request = new JsonObject().put("key", encode(bytes(operation.key())));
        return switch (operation) {
            case KeyValueOperation.Put put ->
                new JsonObject()
                        .put(
                                "request_put",
                                request.put("value", encode(put.value())).put("lease", String.valueOf(put.lease())));
            case KeyValueOperation.Delete ignored -> new JsonObject().put("request_delete_range", request);
        };
    }

    /**
     * Returns the first key after all keys with the prefix: the prefix up to its last byte below 255,
     * with that byte incremented.
     */
    private static byte[] rangeEnd(String prefix) {
        byte[] end = bytes(prefix);
        int last = end.length - 1;
        while (last >= 0 && end[last] == (byte) 0xff) {
            last--;
        }
        if (last < 0) {
            return new byte[] {0};
        }
        end[last]++;
        return Arrays.copyOf(end, last + 1);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    private static byte[] decode(JsonObject object, String name) {
        return Base64.getDecoder().decode(object.getString(name, ""));
    }
}
