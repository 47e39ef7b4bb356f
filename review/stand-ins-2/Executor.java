import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of a backend server (an executor), written from its published protocol. Confined to one event loop, except
 * for the volatile fields.
 *
 * <p>A task ends as done after the time that its payload names in milliseconds, or as failed after that time if the
 * payload ends with " fail". The executor does not guard its capacity.
 */
final class Executor {
    private static final long TICK_MILLISECONDS = 5;
    private static final long LONGEST_HOLD_MILLISECONDS = 6_000;
    private static final long STOP_MILLISECONDS = 100;
    private static final int LISTED_ENDS = 500;

    /** Interval between two heartbeats. */
    volatile long heartbeatMilliseconds = 1_500;

    /** Time from the start of an incarnation to its first heartbeat. */
    volatile long firstHeartbeatMilliseconds = 20;

    /** Whether each incarnation has an identifier of its own. */
    volatile boolean changesIdentifier;

    /** Whether new start orders are refused with 503 without effect, as by an unhealthy executor. */
    volatile boolean refusesStarts;

    private final String firstIdentifier;
    private final Vertx vertx;
    private final Record record;
    private final int accelerators;
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<JsonArray> finished = new ArrayList<>();
    private String id;
    private int agentPort;
    private HttpClient client;
    private long born;
    private long leaseEnd;
    private long ends;

    /** Number of the newest end before the last lapse of the lease; up to there no end counts as taken note of. */
    private long endsBeforeLapse;

    private long highestToken;
    private long sequence;
    private int boot;
    private boolean down;

    private static final class Running {
        final String task;
        final int attempt;
        final long startedAt;
        final long milliseconds;
        final boolean fails;
        long stopAt = Long.MAX_VALUE;

        Running(String task, int attempt, long startedAt, String payload) {
            this.task = task;
            this.attempt = attempt;
            this.startedAt = startedAt;
            this.fails = payload.endsWith(" fail");
            this.milliseconds = Long.parseLong(payload.split(" ")[0]);
        }
    }

    Executor(Vertx vertx, String id, int accelerators, Record record) {
        this.vertx = vertx;
        this.firstIdentifier = id;
        this.id = id;
        this.accelerators = accelerators;
        this.record = record;
    }

    Future<HttpServer> listen(int port, int heartbeatPort) {
        agentPort = heartbeatPort;
        client = vertx.createHttpClient();
        vertx.setPeriodic(TICK_MILLISECONDS, timer -> advance());
        beginBoot();
        return vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true))
                .requestHandler(this::receive)
                .listen(port, "127.0.0.1");
    }

    /** Ends without a word and starts again under the same identifier after the given time. */
    void crash(long downMilliseconds) {
        record.add(name() + " crashes with " + running.size() + " runs");
        running.values().forEach(run -> record.ended(run.task, run.attempt, name(), "lost with its executor"));
        running.clear();
        down = true;
        vertx.setTimer(downMilliseconds, timer -> beginBoot());
    }

    /** Returns whether a task runs here. */
    boolean isBusy() {
        return !running.isEmpty();
    }

    private void beginBoot() {
        down = false;
        boot++;
        id = changesIdentifier && boot > 1 ? firstIdentifier + "-" + boot : firstIdentifier;
        born = System.currentTimeMillis();
        leaseEnd = 0;
        ends = 0;
        endsBeforeLapse = 0;
        highestToken = 0;
        sequence = 0;
        running.clear();
        highestEnded.clear();
        finished.clear();
        record.add(name() + " starts, born " + born);
        scheduleHeartbeat(boot, firstHeartbeatMilliseconds);
    }

    private String name() {
        return firstIdentifier + " boot " + boot;
    }

    private long clock() {
        return System.currentTimeMillis() - born + 1_000;
    }

    private void scheduleHeartbeat(int ofBoot, long delayMilliseconds) {
        vertx.setTimer(delayMilliseconds, timer -> {
            if (ofBoot == boot && !down) {
                sendHeartbeat();
                scheduleHeartbeat(ofBoot, heartbeatMilliseconds);
            }
        });
    }

    private void sendHeartbeat() {
        JsonObject heartbeat = new JsonObject()
                .put("service", "service")
                .put("address", "127.0.0.1:1")
                .put("zone", "zone")
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready")
                .put("born", born)
                .put(
                        "capacity",
                        new JsonObject().put("cpu", 32_000).put("memMb", 131_072).put("gpus", accelerators))
                .put("labels", new JsonArray().add("a").add("rack"))
                .put("clockMs", clock())
                .put("seq", ++sequence);
        if (sequence == 1) {
            record.add(name() + " sends its first heartbeat");
        }
        client.request(HttpMethod.PUT, agentPort, "127.0.0.1", "/instances/" + id)
                .compose(request -> request.send(heartbeat.toBuffer()))
                .onFailure(failure -> record.add(name() + " heartbeat not acknowledged"));
    }

    private void receive(HttpServerRequest request) {
        int ofBoot = boot;
        request.body().onSuccess(body -> {
            if (down || ofBoot != boot) {
                request.connection().close();
            } else if (!id.equals(request.getHeader(Wire.TARGET_HEADER))) {
                answer(request, 421, new JsonObject());
            } else {
                handle(request, new JsonObject(body));
            }
        });
    }

    private void handle(HttpServerRequest request, JsonObject json) {
        advance();
        long token = json.getLong(Wire.FENCE, 0L);
        if (token < highestToken) {
            refuse(request, json, "fence");
            return;
        }
        highestToken = token;
        String path = request.path();
        if (path.equals(Wire.START)) {
            start(request, json);
        } else if (path.equals(Wire.STOP)) {
            stop(request, json);
        } else if (path.equals("/hold")) {
            hold(request, json);
        } else {
            answer(request, 200, new JsonObject());
        }
    }

    private void stop(HttpServerRequest request, JsonObject json) {
        String task = json.getString("task");
        int attempt = json.getInteger("attempt");
        record.add(name() + " stop of " + task + " run " + attempt);
        highestEnded.merge(task, attempt, Math::max);
        Running run = running.get(task);
        if (run != null && run.attempt <= attempt) {
            run.stopAt = Math.min(run.stopAt, clock() + STOP_MILLISECONDS);
        }
        answer(request, 200, new JsonObject());
    }

    private void start(HttpServerRequest request, JsonObject json) {
        String task = json.getString("task");
        int attempt = json.getInteger("attempt");
        if (refusesStarts) {
            record.refused(task, attempt, name());
            answer(request, 503, new JsonObject());
            return;
        }
        if (json.getLong(Wire.EXPIRES) <= clock()) {
            refuse(request, json, "late");
            return;
        }
        extendLease(json);
        Running present = running.get(task);
        if (present != null && present.attempt == attempt) {
            answer(request, 200, new JsonObject());
            return;
        }
        if (present != null || attempt <= highestEnded.getOrDefault(task, 0)) {
            refuse(request, json, "old");
            return;
        }
        running.put(task, new Running(task, attempt, clock(), json.getString("spec")));
        record.started(task, attempt, name());
        answer(request, 200, new JsonObject());
    }

    private void extendLease(JsonObject json) {
        if (json.containsKey(Wire.EXPIRES)) {
            leaseEnd = Math.max(leaseEnd, Math.min(json.getLong(Wire.EXPIRES), clock() + LONGEST_HOLD_MILLISECONDS));
        }
    }

    private void hold(HttpServerRequest request, JsonObject json) {
        extendLease(json);
        long seen = json.getLong(Wire.SEEN, 0L);
        finished.removeIf(end -> {
            if (end.getLong(0) <= endsBeforeLapse && end.getLong(0) <= seen) {
                record.add(name() + " end " + end.getLong(0) + " forgotten; its lease had lapsed");
                return true;
            }
            if (end.getLong(0) <= seen) {
                record.noted(end.getString(1), end.getInteger(2), end.getString(3), name(), end.getLong(0), seen);
                return true;
            }
            return false;
        });
        awaitEnd(request, System.currentTimeMillis() + json.getLong("waitMs", 0L), boot);
    }

    private void awaitEnd(HttpServerRequest request, long deadline, int ofBoot) {
        if (down || ofBoot != boot) {
            request.connection().close();
        } else if (finished.isEmpty() && System.currentTimeMillis() < deadline) {
            vertx.setTimer(TICK_MILLISECONDS, timer -> awaitEnd(request, deadline, ofBoot));
        } else {
            JsonArray runs = new JsonArray();
            running.values()
                    .forEach(run -> runs.add(new JsonArray()
                            .add(run.task)
                            .add(run.attempt)
                            .add("")
                            .add(Math.min(99, (clock() - run.startedAt) * 100 / run.milliseconds))
                            .add(0)));
            answer(
                    request,
                    200,
                    new JsonObject()
                            .put("running", runs)
                            .put("finished", new JsonArray(finished.stream().limit(LISTED_ENDS).toList())));
        }
    }

    private void advance() {
        if (down) {
            return;
        }
        long now = clock();
        List.copyOf(running.values()).forEach(run -> {
            if (run.startedAt + run.milliseconds <= now && run.stopAt > now) {
                end(run, run.fails ? "failed" : "done");
            } else if (run.stopAt <= now) {
                end(run, "stopped");
            } else if (leaseEnd <= now) {
                end(run, "lapsed");
            }
        });
        if (leaseEnd <= now) {
            endsBeforeLapse = ends;
        }
    }

    private void end(Running run, String how) {
        running.remove(run.task);
        highestEnded.merge(run.task, run.attempt, Math::max);
        finished.add(new JsonArray().add(++ends).add(run.task).add(run.attempt).add(how).add(""));
        record.ended(run.task, run.attempt, name(), how);
    }

    private void refuse(HttpServerRequest request, JsonObject json, String reason) {
        record.add(name() + " refuses " + request.path() + " of " + json.getString("task") + ": " + reason);
        answer(request, 409, new JsonObject().put("reason", reason));
    }

    private void answer(HttpServerRequest request, int status, JsonObject body) {
        if (!request.response().closed()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(body.put("clockMs", clock()).put("born", born).toBuffer());
        }
    }
}
