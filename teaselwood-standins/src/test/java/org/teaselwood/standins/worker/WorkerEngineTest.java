package org.teaselwood.standins.worker;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.PartResources;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerReply;
import org.teaselwood.protocol.worker.WorkerTask;

/** Tests of the worker engine in virtual time. */
class WorkerEngineTest {
    private static final TaskIdentifier TASK =
            new TaskIdentifier(new AttemptIdentifier(new JobIdentifier("job"), 1), 0);
    private static final long LEASE = 15_000;

    private final WorkerEngine engine = new WorkerEngine(7, 1_000);

    @BeforeEach
    void adopt() {
        engine.handle(new WorkerCall.Adopt("agent", LEASE), 0);
    }

    /** Guards against a task that ends in a state or at a time that does not match its command, lease and faults. */
    @ParameterizedTest
    @CsvSource({
        "transform, 2000, 1, 1999, RUNNING",
        "transform, 2000, 1, 2000, SUCCEEDED",
        "transform, 2000, 3, 5999, RUNNING",
        "transform, 2000, 3, 6000, SUCCEEDED",
        "fail, 2000, 1, 2000, FAILED",
        "transform, 20000, 1, 14999, RUNNING",
        "transform, 20000, 1, 15000, LEASE_EXPIRED",
        "transform, 15000, 1, 99000, SUCCEEDED",
    })
    void a_task_ends_as_its_command_or_lease_determines(
            String command, String run, double slowdown, long now, WorkerTask.State expected) {
        engine.setFaults(new WorkerFaults(false, slowdown), 0);
        run(command, run);
        assertThat(state(now).state()).isEqualTo(expected);
    }

    /** Guards against growing tasks that never exceed their declared resources, or that ignore throttling. */
    @Test
    void a_growing_task_uses_more_than_it_declared_until_it_is_throttled() {
        run("grow", "10000");
        assertThat(state(0).memoryMebibytes()).isEqualTo(100);
        assertThat(state(5_000).memoryMebibytes()).isEqualTo(200);
        engine.handle(new WorkerCall.Throttle(TASK), 5_000);
        assertThat(state(6_000).memoryMebibytes()).isEqualTo(100);
    }

    /** Guards against a delayed run that starts a task after a stop, a forget, an adoption or a worker restart. */
    @Test
    void a_delayed_run_is_rejected() {
        engine.handle(new WorkerCall.Stop(TASK, 0), 0);
        assertThat(run("transform", "0")).isInstanceOf(WorkerReply.Ran.class);
        engine.handle(new WorkerCall.Forget(List.of(TASK)), 0);
        assertThat(reason(run("transform", "0"))).isEqualTo(WorkerReply.Reason.INVALID);
        engine.handle(new WorkerCall.Adopt("other", LEASE), 0);
        assertThat(reason(run("transform", "0"))).isEqualTo(WorkerReply.Reason.OTHER_AGENT);
        engine.loseTasks();
        assertThat(reason(run("transform", "0"))).isEqualTo(WorkerReply.Reason.OTHER_WORKER);
        assertThat(engine.runs()).isEmpty();
    }

    private static WorkerReply.Reason reason(WorkerReply reply) {
        return ((WorkerReply.Refused) reply).reason();
    }

    private WorkerTask state(long now) {
        engine.advance(now);
        return engine.tasks().get(TASK);
    }

    private WorkerReply run(String command, String runMilliseconds) {
        TaskSpecification specification = new TaskSpecification(
                "team",
                "template",
                command,
                Map.of(BuiltInCommand.RUN_MILLISECONDS, runMilliseconds),
                new PartResources(1, 0, 0, 100),
                1,
                1,
                false,
                false,
                true,
                true,
                0,
                "key",
                "");
        return engine.handle(new WorkerCall.Run("agent", 7, TASK, specification, 0, LEASE), 0);
    }
}
