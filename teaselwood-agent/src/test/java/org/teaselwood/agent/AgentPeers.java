package org.teaselwood.agent;

import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.MessageConnection;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.standins.worker.BuiltInCommand;
import org.teaselwood.standins.worker.WorkerStandIn;

/**
 * Peers of one agent process: a fake entry that runs jobs at a constant rate, and the worker stand-in. Used to record
 * the classes of the class-data archive and to measure the agent. Exits after the given time.
 */
public final class AgentPeers {
    private static final String KEY = "key-of-the-agent-peers";
    private static final Term TERM = new Term(1, "e1");
    private static final int TIMEOUT_SECONDS = 10;
    private static final int REPORT_INTERVAL_SECONDS = 10;
    private static final long POLL_INTERVAL_MILLISECONDS = 50;
    private static final int SERVER_ACCELERATORS = 8;

    private AgentPeers() {}

    /** Arguments: settings file to write for the agent, run time in seconds, jobs per minute, answer size in bytes. */
    public static void main(String[] arguments) throws Exception {
        Vertx vertx = Vertx.vertx();
        FakeEntry entry = new FakeEntry(vertx, "e1", new SharedKey(KEY), 0);
        WorkerStandIn worker = WorkerStandIn.start(vertx, 0)
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        writeSettings(Path.of(arguments[0]), entry.port(), worker.port());
        long seconds = Long.parseLong(arguments[1]);
        long jobsPerMinute = Long.parseLong(arguments[2]);
        long start = System.nanoTime();
        long jobs = 0;
        long lastReportSeconds = 0;
        for (long elapsed = 0; elapsed < seconds * 1_000; elapsed = (System.nanoTime() - start) / 1_000_000) {
            Thread.sleep(POLL_INTERVAL_MILLISECONDS);
            MessageConnection connection = entry.connection();
            if (connection != null && jobs < elapsed * jobsPerMinute / 60_000) {
                runJob(entry, jobs, arguments[3]);
                jobs++;
            }
            if (connection != null && elapsed / 1_000 >= lastReportSeconds + REPORT_INTERVAL_SECONDS) {
                lastReportSeconds = elapsed / 1_000;
                long bytes = connection.bytesSent() + connection.bytesReceived();
                System.out.println("seconds " + lastReportSeconds + " bytes " + bytes + " jobs " + jobs);
            }
        }
        System.exit(0);
    }

    private static void runJob(FakeEntry entry, long number, String answerBytes) throws InterruptedException {
        AttemptIdentifier attempt = new AttemptIdentifier(new JobIdentifier("job-" + number), 1);
        TaskSpecification specification = new TaskSpecification(
                "winding",
                "plan",
                "transform",
                Map.of(BuiltInCommand.RUN_MILLISECONDS, "20", BuiltInCommand.ANSWER_BYTES, answerBytes),
                new PartResources(1, 1, 1, 1),
                1,
                1,
                true,
                false,
                true,
                false,
                0,
                "key-" + number,
                "");
        int accelerator = (int) (number % SERVER_ACCELERATORS);
        entry.send(new AgentCommand.Hold(TERM, attempt, 0, accelerator, specification, 10_000));
        entry.send(new AgentCommand.Start(TERM, attempt, 0));
        entry.await(AgentMessage.AnswerPart.class, part -> part.attempt().equals(attempt));
        entry.send(new AgentCommand.ForgetAttempt(TERM, attempt));
        entry.clearReceived();
    }

    private static void writeSettings(Path file, int entryPort, int workerPort) throws Exception {
        String text = """
                [agent]
                name = w1
                region = r
                data-centre = d
                rack = k
                capabilities = tuning
                accelerators = 8
                cores = 32
                memory = 128 GiB
                slots = 8
                entries = 127.0.0.1:%d
                worker = 127.0.0.1:%d
                shared-key = %s
                """.formatted(entryPort, workerPort, KEY);
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(temporary, text);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
