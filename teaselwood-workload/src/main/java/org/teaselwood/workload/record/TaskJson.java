package org.teaselwood.workload.record;

import io.vertx.core.json.JsonArray;
import java.util.List;
import java.util.stream.IntStream;

/**
 * JSON encoding of the progress of one task. Stateless.
 *
 * <p>In a chunk, a task that is done or was never started is only the number of its last attempt, because a job may
 * have very many of them.
 */
final class TaskJson {
    /** Position of the failed attempts of a task; earlier builds neither write nor read this element. */
    private static final int FAILED_ATTEMPTS = 7;

    /** Position of the crashes after starts of a task, likewise. */
    private static final int CRASHES = 8;

    /** Position of the mark of a late start, likewise; it is left out for any other task. */
    private static final int LATE_START = 9;

    private TaskJson() {}

    /** Encodes a task as an element of a chunk: a number, or an array if there is more to store. */
    static Object encodeInChunk(TaskRecord task) {
        return task.equals(TaskRecord.NEW) || task.isFinished() ? (Object) task.attempt() : encode(task);
    }

    /** Decodes an element of a chunk. */
    static TaskRecord decodeInChunk(Object element) {
        return switch (element) {
            case Integer attempt when attempt == 0 -> TaskRecord.NEW;
            case Integer attempt when attempt > 0 -> TaskRecord.finished(attempt);
            case JsonArray task -> decode(task);
            default -> throw new IllegalArgumentException("task " + element);
        };
    }

    static JsonArray encode(TaskRecord task) {
        JsonArray json = new JsonArray()
                .add(task.attempt())
                .add(task.failures())
                .add(task.done())
                .add(task.server())
                .add(task.serverIncarnation())
                .add(task.host())
                .add(task.checkpoint())
                .add(new JsonArray(task.failedAttempts()))
                .add(crashesJson(task.crashes()));
        return task.lateStart() ? json.add(true) : json;
    }

    static TaskRecord decode(JsonArray task) {
        return new TaskRecord(
                task.getInteger(0),
                task.getInteger(1),
                task.getBoolean(2),
                task.getString(3),
                task.getLong(4),
                task.getString(5),
                task.getString(6),
                task.size() > FAILED_ATTEMPTS
                        ? JsonArrays.integers(task.getJsonArray(FAILED_ATTEMPTS))
                                .toList()
                        : List.of(),
                task.size() > CRASHES ? crashes(task.getJsonArray(CRASHES)) : CrashHistory.NONE,
                task.size() > LATE_START && task.getBoolean(LATE_START));
    }

    /** Encodes the number of further starts and the crashes; an empty array if there are none. */
    private static JsonArray crashesJson(CrashHistory history) {
        JsonArray json = new JsonArray();
        if (history.isSuspected()) {
            json.add(history.furtherStarts());
            history.crashes()
                    .forEach(crash -> json.add(new JsonArray()
                            .add(crash.host())
                            .add(crash.incarnation())
                            .add(crash.evidence().name())));
        }
        return json;
    }

    private static CrashHistory crashes(JsonArray json) {
        if (json.isEmpty()) {
            return CrashHistory.NONE;
        }
        List<CrashHistory.Crash> crashes = IntStream.range(1, json.size())
                .mapToObj(json::getJsonArray)
                .map(crash -> new CrashHistory.Crash(
                        crash.getString(0), crash.getLong(1), CrashHistory.Evidence.valueOf(crash.getString(2))))
                .toList();
        return new CrashHistory(crashes, json.getInteger(0));
    }
}
