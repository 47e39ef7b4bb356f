package org.teaselwood.agent;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.MessageConnection;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.settings.AgentSettings;
import org.teaselwood.settings.NetworkAddress;
import org.teaselwood.settings.Secret;
import org.teaselwood.standins.worker.BuiltInCommand;
import org.teaselwood.standins.worker.WorkerStandIn;

/** Runs the agent between a fake entry and the worker stand-in over loopback. */
class AgentProcessTest {
    private static final String KEY = "key-of-16-letters";
    private static final long TIMEOUT_MILLISECONDS = 10_000;
    private static final Term TERM = new Term(1, "e1");
    private static final AttemptIdentifier ATTEMPT = new AttemptIdentifier(new JobIdentifier("job-1"), 1);
    private static final TaskSpecification SPECIFICATION = new TaskSpecification(
            "winding",
            "plan",
            "transform",
            Map.of("bell", "tenor", BuiltInCommand.RUN_MILLISECONDS, "50"),
            new PartResources(2, 1, 1, 100),
            1,
            1,
            false,
            false,
            true,
            false,
            0,
            "key",
            "");

    private final Vertx vertx = Vertx.vertx();
    private WorkerStandIn worker;
    private FakeEntry entry;
    private AgentProcess agent;

    @BeforeEach
    void start() throws Exception {
        worker = WorkerStandIn.start(vertx, 0)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        entry = new FakeEntry(vertx, "e1", new SharedKey(KEY), 0);
        BackendServer server = new BackendServer("w1", "r", "d", "k", Set.of(), 8, 32, 1000, 8, 64, 1.0);
        agent = new AgentProcess(
                vertx,
                new AgentSettings(
                        server,
                        List.of(new NetworkAddress("127.0.0.1", entry.port())),
                        new NetworkAddress("127.0.0.1", worker.port()),
                        Optional.of(new Secret(KEY)),
                        Optional.empty(),
                        0));
    }

    @AfterEach
    void stop() throws Exception {
        agent.close();
        worker.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Guards against a break in the life cycle of a job, from hello and hold to forget and graceful shutdown. */
    @Test
    void a_job_runs_from_hold_to_forget_and_the_agent_then_shuts_down() throws Exception {
        entry.await(AgentMessage.AgentHello.class, hello -> hello.parts().isEmpty());
        entry.send(new AgentCommand.Hold(TERM, ATTEMPT, 0, 0, SPECIFICATION, 10_000));
        entry.await(AgentMessage.PartReply.class, reply -> reply.request().equals("Hold"));
        entry.send(new AgentCommand.Start(TERM, ATTEMPT, 0));
        entry.await(AgentMessage.PartChanged.class, changed -> changed.report().phase() == PartPhase.SUCCEEDED);
        AgentMessage.AnswerPart answer = entry.await(AgentMessage.AnswerPart.class, part -> true);
        assertThat(answer.content()).isEqualTo(BuiltInCommand.answer(SPECIFICATION, 0));
        agent.startGracefulShutdown();
        entry.await(AgentMessage.AgentLeaving.class, leaving -> true);
        entry.send(new AgentCommand.ForgetAttempt(TERM, ATTEMPT));
        assertThat(agent.awaitDrained(TIMEOUT_MILLISECONDS)).isTrue();
        assertThat(worker.runs()).containsExactly(new TaskIdentifier(ATTEMPT, 0));
    }

    /** Guards against an agent that stays connected to an entry that is paused or partitioned from it. */
    @Test
    void an_unresponsive_entry_is_replaced_after_six_seconds() throws Exception {
        entry.await(AgentMessage.AgentHello.class, hello -> true);
        entry.stopReplyingToHeartbeats();
        MessageConnection first = entry.connection();
        long start = System.nanoTime();
        entry.clearReceived();
        entry.await(AgentMessage.AgentHello.class, hello -> true);
        assertThat(entry.connection()).isNotSameInstanceAs(first);
        assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - start)).isAtLeast(3);
    }

    /** Guards against an agent that does not reconnect, or does not send its answers again, after a lost connection. */
    @Test
    void a_lost_connection_is_replaced_and_the_answer_is_sent_again() throws Exception {
        entry.await(AgentMessage.AgentHello.class, hello -> true);
        entry.send(new AgentCommand.Hold(TERM, ATTEMPT, 0, 0, SPECIFICATION, 10_000));
        entry.send(new AgentCommand.Start(TERM, ATTEMPT, 0));
        entry.await(AgentMessage.AnswerPart.class, part -> true);
        entry.connection().close();
        entry.await(
                AgentMessage.AgentHello.class,
                hello -> hello.parts().size() == 1
                        && hello.parts().getFirst().report().phase() == PartPhase.SUCCEEDED);
        entry.await(AgentMessage.AnswerPart.class, part -> true);
    }
}
