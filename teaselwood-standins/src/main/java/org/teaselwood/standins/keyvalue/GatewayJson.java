package org.teaselwood.standins.keyvalue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.stream.Stream;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.TransactionResult;

/** Server-side JSON codec of etcd's v3 gateway. Invalid requests cause runtime exceptions. Thread-safe. */
final class GatewayJson {
    private GatewayJson() {}

    static KeyRange range(JsonObject request) {
        return new KeyRange(decode(request, "key"), decode(request, "range_end"));
    }

    static KeyValueTransaction transaction(JsonObject request) {
        return new KeyValueTransaction(
                objects(request, "compare").map(GatewayJson::condition).toList(),
                objects(request, "success").map(GatewayJson::operation).toList());
    }

    static JsonObject rangeResponse(List<KeyValue> pairs, long revision) {
        JsonObject response = withHeader(revision);
        if (!pairs.isEmpty()) {
            response.put(
                            "kvs",
                            new JsonArray(pairs.stream().map(GatewayJson::pair).toList()))
                    .put("count", String.valueOf(pairs.size()));
        }
        return response;
    }

    static JsonObject transactionResponse(TransactionResult result) {
        JsonObject response = withHeader(result.revision());
        return result.applied() ? response.put("succeeded", true) : response;
    }

    static JsonObject watchEvents(List<KeyValue> changes, long revision) {
        List<JsonObject> events = changes.stream().map(GatewayJson::event).toList();
        return new JsonObject().put("result", withHeader(revision).put("events", new JsonArray(events)));
    }

    static JsonObject withHeader(long revision) {
        return new JsonObject().put("header", new JsonObject().put("revision", String.valueOf(revision)));
    }

    static long longField(JsonObject request, String name) {
        return Long.parseLong(request.getString(name, "0"));
    }

    private static Stream<JsonObject> objects(JsonObject request, String name) {
        return request.getJsonArray(name, new JsonArray()).stream().map(JsonObject.class::cast);
    }

    private static KeyValueCondition condition(JsonObject compare) {
        if (!"MOD".equals(compare.getString("target")) || !"EQUAL".equals(compare.getString("result"))) {
            throw new IllegalArgumentException("unsupported comparison: only equality of mod_revision is supported");
        }
        return new KeyValueCondition(decode(compare, "key"), longField(compare, "mod_revision"));
    }

    private static KeyValueOperation operation(JsonObject operation) {
        JsonObject put = operation.getJsonObject("request_put");
        if (put != null) {
            byte[] value = Base64.getDecoder().decode(put.getString("value", ""));
            return new KeyValueOperation.Put(decode(put, "key"), value, longField(put, "lease"));
        }
        return new KeyValueOperation.Delete(decode(operation.getJsonObject("request_delete_range"), "key"));
    }

    private static JsonObject event(KeyValue change) {
        JsonObject event = new JsonObject().put("kv", pair(change));
        return change.value().length == 0 ? event.put("type", "DELETE") : event;
    }

    private static JsonObject pair(KeyValue pair) {
        JsonObject object = new JsonObject()
                .put("key", encode(pair.key().getBytes(StandardCharsets.UTF_8)))
                .put("mod_revision", String.valueOf(pair.revision()));
        return pair.value().length == 0 ? object : object.put("value", encode(pair.value()));
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    private static String decode(JsonObject object, String name) {
        return new String(Base64.getDecoder().decode(object.getString(name, "")), StandardCharsets.UTF_8);
    }
}
