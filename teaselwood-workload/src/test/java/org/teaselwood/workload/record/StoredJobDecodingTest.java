package org.teaselwood.workload.record;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;

/** Guards against a stored job of an earlier version that fails every placement pass of a new placer. */
final class StoredJobDecodingTest {
    private static JsonObject storedJob() {
        StepSpecification step = new StepSpecification(
                1, new Resources(1, 1, 1), 1, List.of(), false, false, false, "", "", 0, false, false, 0, 0);
        return new JsonObject(Buffer.buffer(
                WorkloadJson.encode(new JobSpecification("id", "queue", "team", "payload", List.of(step), 0, 0, 0))));
    }

    @Test
    void a_stored_job_with_null_texts_is_decoded_with_empty_texts() {
        JsonObject stored = storedJob().putNull("payload");
        stored.getJsonArray("steps").getJsonObject(0).putNull("selector").putNull("affinityRack");
        JobSpecification job = WorkloadJson.decodeJob("id", stored.toBuffer().getBytes());
        assertThat(job.payload()).isEmpty();
        assertThat(job.steps().getFirst().selector()).isEmpty();
        assertThat(job.steps().getFirst().affinityRack()).isEmpty();
    }

    @Test
    void a_stored_job_with_too_many_tasks_in_all_occurrences_is_not_decoded() {
        byte[] stored = storedJob().put("occurrences", 1_000_000_000).toBuffer().getBytes();
        assertThrows(TeaselwoodException.class, () -> WorkloadJson.decodeJob("id", stored));
    }
}
