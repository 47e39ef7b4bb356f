import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Stand-in of the platform's metadata store, written from its published protocol. Confined to one event loop, except
 * for the volatile fields.
 *
 * <p>A call takes effect after half of the latency and is answered after the other half. Pages of a range are separate
 * calls and not a snapshot.
 */
final class PlatformStore {
    private static final int MAXIMUM_ENTRIES = 32;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int WATCH_POLL_MILLISECONDS = 5;

    /** Usual time from the arrival of a call to its answer. */
    static final long USUAL_LATENCY_MILLISECONDS = 4;

    /** Time from the arrival of a call to its answer. */
    volatile long latencyMilliseconds = USUAL_LATENCY_MILLISECONDS;

    /** Largest value in bytes, as in the settings of the platform. */
    final int valueBytes = 1_048_576;

    /** Receives a line for each event that a case may want to record; called on the event loop. */
    volatile Consumer<String> log = line -> {};

    private final Vertx vertx;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<JsonObject> events = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final List<Runnable> waitingWatches = new ArrayList<>();
    private long revision = 1;
    private long nextLease = 1;

    private record Item(String value, long revision, long created, long lease) {}

    PlatformStore(Vertx vertx) {
        this.vertx = vertx;
    }

    Future<HttpServer> listen(int port) {
        vertx.setPeriodic(20, timer -> expireLeases());
        return vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true))
                .requestHandler(this::receive)
                .listen(port, "127.0.0.1");
    }

    /** Writes a key as the operator does. */
    void put(String key, byte[] value) {
        revision++;
        write(key, Base64.getEncoder().encodeToString(value), 0);
    }

    /** Returns the number of keys with a prefix. */
    int count(String prefix) {
        return items.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /** Ends all waiting watches by closing their connections; "a watch that is waiting may be cut". */
    void cutWatches() {
        List<Runnable> cut = List.copyOf(waitingWatches);
        waitingWatches.clear();
        cut.forEach(Runnable::run);
    }

    private void receive(HttpServerRequest request) {
        request.body().onSuccess(body -> after(latencyMilliseconds / 2, () -> handle(request, body)));
    }

    private void after(long milliseconds, Runnable action) {
        if (milliseconds <= 0) {
            action.run();
        } else {
            vertx.setTimer(milliseconds, timer -> action.run());
        }
    }

    private void handle(HttpServerRequest request, Buffer body) {
        String path = request.path();
        if (path.equals(Wire.ITEM)) {
            String key = request.getParam("key");
            answer(request, items.containsKey(key) ? 200 : 404, items.containsKey(key) ? item(key) : new JsonObject());
        } else if (path.equals(Wire.RANGE)) {
            range(request);
        } else if (path.equals(Wire.WATCH)) {
            watch(request);
        } else if (path.equals(Wire.TRANSACTION)) {
            transact(request, new JsonObject(body));
        } else if (path.equals(Wire.LEASE)) {
            long ttl = Math.max(1_000, new JsonObject(body).getLong("ttlMs"));
            long lease = nextLease++;
            leases.put(lease, new long[] {ttl, System.currentTimeMillis() + ttl});
            answer(request, 200, new JsonObject().put("lease", lease).put("ttlMs", ttl));
        } else if (path.startsWith(Wire.RENEWAL)) {
            long[] lease = leases.get(Long.parseLong(path.substring(Wire.RENEWAL.length())));
            if (lease != null) {
                lease[1] = System.currentTimeMillis() + lease[0];
            }
            answer(request, lease == null ? 404 : 200, new JsonObject());
        } else {
            answer(request, 404, new JsonObject());
        }
    }

    private void range(HttpServerRequest request) {
        String prefix = request.getParam("prefix");
        String start = request.getParam("after") == null ? "" : request.getParam("after");
        JsonArray found = new JsonArray();
        int bytes = 0;
        boolean more = false;
        boolean first = start.compareTo(prefix) <= 0;
        for (String key : items.tailMap(first ? prefix : start, first).keySet()) {
            if (!key.startsWith(prefix)) {
                break;
            }
            bytes += items.get(key).value().length();
            if (found.size() == PAGE_ITEMS || bytes > PAGE_BYTES && !found.isEmpty()) {
                more = true;
                break;
            }
            found.add(item(key));
        }
        answer(
                request,
                200,
                new JsonObject().put("items", found).put("hasMore", more).put("storeRevision", revision));
    }

    private void watch(HttpServerRequest request) {
        String prefix = request.getParam("prefix");
        long after = Long.parseLong(request.getParam("after"));
        long deadline = System.currentTimeMillis() + Long.parseLong(request.getParam("waitMs"));
        boolean[] cut = new boolean[1];
        Runnable cutter = () -> {
            cut[0] = true;
            request.connection().close();
        };
        waitingWatches.add(cutter);
        pollWatch(request, prefix, after, deadline, cut, cutter);
    }

    private void pollWatch(
            HttpServerRequest request, String prefix, long after, long deadline, boolean[] cut, Runnable cutter) {
        if (cut[0] || request.response().closed()) {
            waitingWatches.remove(cutter);
            return;
        }
        LinkedList<JsonObject> matching = new LinkedList<>();
        for (int index = events.size() - 1; index >= 0 && events.get(index).getLong("revision") > after; index--) {
            if (events.get(index).getString("key").startsWith(prefix)) {
                matching.addFirst(events.get(index));
            }
        }
        JsonArray found = new JsonArray(matching);
        if (found.isEmpty() && System.currentTimeMillis() < deadline) {
            vertx.setTimer(
                    WATCH_POLL_MILLISECONDS, timer -> pollWatch(request, prefix, after, deadline, cut, cutter));
            return;
        }
        waitingWatches.remove(cutter);
        answer(request, 200, new JsonObject().put("events", found).put("storeRevision", revision));
    }

    private void transact(HttpServerRequest request, JsonObject body) {
        JsonArray conditions = body.getJsonArray("expectedRev", new JsonArray());
        JsonArray puts = body.getJsonArray("puts", new JsonArray());
        JsonArray removals = body.getJsonArray("remove", new JsonArray());
        if (puts.size() + removals.size() > MAXIMUM_ENTRIES || conditions.size() > MAXIMUM_ENTRIES) {
            answer(request, 400, new JsonObject().put("error", "too many entries"));
            return;
        }
        for (int index = 0; index < puts.size(); index++) {
            JsonObject put = puts.getJsonObject(index);
            int size = Base64.getDecoder().decode(put.getString("value")).length;
            if (size > valueBytes) {
                log.accept("store refused a value of " + size + " bytes for " + put.getString("key"));
                answer(request, 400, new JsonObject().put("error", "value of " + size + " bytes"));
                return;
            }
            if (put.getLong("lease", 0L) != 0 && !leases.containsKey(put.getLong("lease"))) {
                answer(request, 404, new JsonObject());
                return;
            }
        }
        for (int index = 0; index < conditions.size(); index++) {
            JsonObject condition = conditions.getJsonObject(index);
            Item present = items.get(condition.getString("key"));
            if ((present == null ? 0 : present.revision()) != condition.getLong("revision")) {
                JsonArray current = new JsonArray();
                conditions.forEach(row -> {
                    String key = ((JsonObject) row).getString("key");
                    if (items.containsKey(key)) {
                        current.add(item(key));
                    }
                });
                answer(request, 412, new JsonObject().put("items", current));
                return;
            }
        }
        revision++;
        for (int index = 0; index < puts.size(); index++) {
            JsonObject put = puts.getJsonObject(index);
            write(put.getString("key"), put.getString("value"), put.getLong("lease", 0L));
        }
        for (int index = 0; index < removals.size(); index++) {
            remove(removals.getString(index));
        }
        if (!removals.isEmpty()) {
            log.accept("store removed " + removals.size() + " keys at revision " + revision);
        }
        answer(request, 200, new JsonObject().put("revision", revision));
    }

    private void write(String key, String value, long lease) {
        items.put(key, new Item(value, revision, items.containsKey(key) ? items.get(key).created() : revision, lease));
        events.add(item(key));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            events.add(new JsonObject().put("key", key).put("revision", revision).put("removed", true));
        }
    }

    private void expireLeases() {
        long now = System.currentTimeMillis();
        leases.entrySet().removeIf(lease -> {
            if (lease.getValue()[1] > now) {
                return false;
            }
            List.copyOf(items.keySet()).stream()
                    .filter(key -> items.get(key).lease() == lease.getKey())
                    .forEach(key -> {
                        revision++;
                        remove(key);
                    });
            return true;
        });
    }

    private JsonObject item(String key) {
        Item item = items.get(key);
        return new JsonObject()
                .put("key", key)
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private void answer(HttpServerRequest request, int status, JsonObject body) {
        after(latencyMilliseconds - latencyMilliseconds / 2, () -> {
            if (!request.response().closed()) {
                request.response()
                        .setStatusCode(status)
                        .putHeader("Content-Type", "application/json")
                        .end(body.toBuffer());
            }
        });
    }
}
