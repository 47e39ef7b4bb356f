package org.teaselwood.workload.record;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.store.JsonDocuments;
import org.teaselwood.workload.model.AdviceSettings;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;

/**
 * JSON encoding of the stored records. Stateless. The format is JSON because operators read the stored values when they
 * diagnose failures.
 *
 * <p>Decoding fails with BAD_FRAME for any value that this class cannot have written.
 */
public final class WorkloadJson {
    /** Largest number of an accepted job; a product with its occurrences does not overflow. */
    private static final double MAXIMUM_NUMBER = 0x1p45;

    private WorkloadJson() {}

    /** Encodes an accepted job. */
    public static byte[] encode(JobSpecification job) {
        JsonArray steps = new JsonArray();
        job.steps().forEach(step -> steps.add(stepJson(step)));
        JsonObject json = new JsonObject()
                .put("queue", job.queue())
                .put("team", job.team())
                .put("payload", job.payload())
                .put("startAt", job.startAtMilliseconds())
                .put("interval", job.intervalMilliseconds())
                .put("occurrences", job.occurrences())
                .put("steps", steps);
        job.queueSettings().ifPresent(settings -> json.put("queueSettings", queueSettingsJson(settings)));
        return json.toBuffer().getBytes();
    }

    /** Decodes an accepted job. */
    public static JobSpecification decodeJob(String id, byte[] value) {
        return decode(
                value,
                json -> new JobSpecification(
                        id,
                        json.getString("queue"),
                        json.getString("team"),
                        textOrEmpty(json, "payload"),
                        JsonArrays.objects(json.getJsonArray("steps"))
                                .map(WorkloadJson::step)
                                .toList(),
                        number(json, "startAt"),
                        number(json, "interval"),
                        integer(json, "occurrences"),
                        Optional.ofNullable(json.getJsonObject("queueSettings")).map(WorkloadJson::queueSettings)));
    }

    /** Encodes the progress of a job. */
    public static byte[] encode(JobRecord job) {
        JsonArray steps = new JsonArray();
        // Among the steps, because an earlier build refuses such a record and does not run the occurrences again.
        job.finished()
                .forEach(range -> steps.add(
                        new JsonObject().put("finishedFrom", range.first()).put("finishedTo", range.last())));
        job.chunkedOccurrences().forEach(occurrence -> steps.add(new JsonObject().put("chunksOf", occurrence)));
        for (StepRecord step : job.steps()) {
            JsonArray tasks = new JsonArray();
            step.tasks().forEach(task -> tasks.add(TaskJson.encode(task)));
            steps.add(new JsonObject()
                    .put("occurrence", step.occurrence())
                    .put("step", step.step())
                    .put("tasks", tasks));
        }
        return new JsonObject()
                .put("phase", job.phase().name())
                .put("team", job.team())
                .put("steps", steps)
                .toBuffer()
                .getBytes();
    }

    /** Encodes the progress of the tasks of one chunk. */
    public static byte[] encodeChunk(List<TaskRecord> tasks) {
        JsonArray json = new JsonArray();
        tasks.forEach(task -> json.add(TaskJson.encodeInChunk(task)));
        return new JsonObject().put("tasks", json).toBuffer().getBytes();
    }

    /** Decodes the progress of the tasks of one chunk. */
    public static List<TaskRecord> decodeChunk(byte[] value) {
        return decode(
                value,
                json -> json.getJsonArray("tasks").stream()
                        .map(TaskJson::decodeInChunk)
                        .toList());
    }

    /** Decodes the progress of a job. */
    public static JobRecord decodeRecord(byte[] value) {
        return decode(
                value,
                json -> new JobRecord(
                        JobPhase.valueOf(json.getString("phase")),
                        json.getString("team"),
                        JsonArrays.objects(json.getJsonArray("steps"))
                                .filter(WorkloadJson::isFinishedRange)
                                .map(range -> new OccurrenceRange(
                                        range.getInteger("finishedFrom"), range.getInteger("finishedTo")))
                                .toList(),
                        JsonArrays.objects(json.getJsonArray("steps"))
                                .filter(WorkloadJson::isChunked)
                                .map(marker -> marker.getInteger("chunksOf"))
                                .toList(),
                        JsonArrays.objects(json.getJsonArray("steps"))
                                .filter(step -> !isFinishedRange(step) && !isChunked(step))
                                .map(WorkloadJson::stepRecord)
                                .toList()));
    }

    private static boolean isChunked(JsonObject json) {
        return json.containsKey("chunksOf");
    }

    private static boolean isFinishedRange(JsonObject json) {
        return json.containsKey("finishedFrom");
    }

    /** Encodes the number of waiting jobs by queue. */
    public static byte[] encodePending(Map<String, Integer> pending) {
        JsonObject json = new JsonObject();
        pending.forEach(json::put);
        return json.toBuffer().getBytes();
    }

    /** Decodes the number of waiting jobs by queue. */
    public static Map<String, Integer> decodePending(byte[] value) {
        return decode(
                value, json -> json.fieldNames().stream().collect(Collectors.toMap(name -> name, json::getInteger)));
    }

    private static JsonObject queueSettingsJson(QueueSettings settings) {
        JsonObject json = new JsonObject()
                .put("name", settings.name())
                .put("service", settings.service())
                .put("priority", settings.priority())
                .put("maximumAttempts", settings.maximumAttempts())
                .put("stretch", settings.stretch())
                .put("objective", settings.objectiveMilliseconds());
        settings.advice()
                .ifPresent(advice -> json.put(
                        "advice",
                        new JsonObject()
                                .put("fixedResponse", advice.fixedResponseMilliseconds())
                                .put("responsePerServer", advice.responseMillisecondsPerServer())
                                .put("ticketValidity", advice.ticketValidityMilliseconds())));
        return json;
    }

    private static QueueSettings queueSettings(JsonObject json) {
        return new QueueSettings(
                json.getString("name"),
                json.getString("service"),
                json.getInteger("priority"),
                json.getInteger("maximumAttempts"),
                json.getDouble("stretch"),
                json.getLong("objective"),
                Optional.ofNullable(json.getJsonObject("advice"))
                        .map(advice -> new AdviceSettings(
                                advice.getLong("fixedResponse"),
                                advice.getLong("responsePerServer"),
                                advice.getLong("ticketValidity"))));
    }

    private static JsonObject stepJson(StepSpecification step) {
        return new JsonObject()
                .put("count", step.count())
                .put("milliCores", step.resources().milliCores())
                .put("memory", step.resources().memoryMebibytes())
                .put("accelerators", step.resources().accelerators())
                .put("estimate", step.estimateMilliseconds())
                .put("after", new JsonArray(step.dependencies()))
                .put("checkpointing", step.checkpointing())
                .put("gang", step.gang())
                .put("sameRack", step.sameRack())
                .put("selector", step.selector())
                .put("affinityRack", step.affinityRack())
                .put("maximumPerServer", step.maximumPerServer())
                .put("longRunning", step.longRunning())
                .put("fills", step.bestEffort())
                .put("latencyTarget", step.latencyTargetMilliseconds())
                .put("mayMiss", step.maximumUnavailable());
    }

    /** Returns a text, empty if it is null: earlier versions accepted jobs with such a field. */
    private static String textOrEmpty(JsonObject json, String name) {
        return Objects.requireNonNullElse(json.getString(name), "");
    }

    /** Returns a number from 0 to 2^45. The accessors of a JSON object truncate larger ones. */
    private static long number(JsonObject json, String name) {
        Number value = json.getNumber(name);
        if (!(value.doubleValue() >= 0 && value.doubleValue() <= MAXIMUM_NUMBER)) {
            throw new IllegalArgumentException(name + " is " + value);
        }
        return value.longValue();
    }

    /** Returns a number from 0 to the largest integer. */
    private static int integer(JsonObject json, String name) {
        return Math.toIntExact(number(json, name));
    }

    private static StepSpecification step(JsonObject json) {
        return new StepSpecification(
                integer(json, "count"),
                new Resources(number(json, "milliCores"), number(json, "memory"), integer(json, "accelerators")),
                number(json, "estimate"),
                JsonArrays.integers(json.getJsonArray("after")).toList(),
                json.getBoolean("checkpointing"),
                json.getBoolean("gang"),
                json.getBoolean("sameRack"),
                textOrEmpty(json, "selector"),
                textOrEmpty(json, "affinityRack"),
                integer(json, "maximumPerServer"),
                json.getBoolean("longRunning"),
                json.getBoolean("fills"),
                number(json, "latencyTarget"),
                integer(json, "mayMiss"));
    }

    private static StepRecord stepRecord(JsonObject json) {
        List<TaskRecord> records = JsonArrays.arrays(json.getJsonArray("tasks"))
                .map(TaskJson::decode)
                .toList();
        return new StepRecord(json.getInteger("occurrence"), json.getInteger("step"), records);
    }

    private static <T> T decode(byte[] value, Function<JsonObject, T> reader) {
        try {
            return reader.apply(JsonDocuments.parse(value));
        } catch (DecodeException
                | ClassCastException
                | NullPointerException
                | IllegalArgumentException
                | ArithmeticException
                | IndexOutOfBoundsException exception) {
            throw TeaselwoodException.causedBy(exception, ErrorKind.BAD_FRAME, String.valueOf(exception.getMessage()));
        }
    }
}
