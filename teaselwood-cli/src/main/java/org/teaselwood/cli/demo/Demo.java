package org.teaselwood.cli.demo;

import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.teaselwood.cli.CommandException;
import org.teaselwood.cli.Console;
import org.teaselwood.cli.EntryClient;
import org.teaselwood.cli.ExitCode;
import org.teaselwood.cli.JobWaiter;
import org.teaselwood.cli.demo.DemoJob.Result;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobSubmission;

/** Runs the Lab's jobs on a {@link LabCluster} and verifies every answer. */
public final class Demo {
    private final Console console;
    private final LabFiles files;
    private final int rounds;
    private final int keepSeconds;

    /**
     * Creates a demo.
     *
     * @param rounds number of times each job of the Lab is submitted
     * @param keepSeconds time for which the cluster keeps running after the jobs, so that it can be inspected
     */
    public Demo(Console console, LabFiles files, int rounds, int keepSeconds) {
        this.console = console;
        this.files = files;
        this.rounds = rounds;
        this.keepSeconds = keepSeconds;
    }

    /** Runs the demo; returns OK only if every answer is complete and correct. */
    public ExitCode run() {
        try (LabCluster cluster = LabCluster.start(files);
                EntryClient operator = cluster.operator()) {
            console.line("fronts: " + String.join(", ", cluster.entryUrls()));
            ClusterSetup.awaitServers(operator, cluster.workers().size(), console::line);
            Configuration configuration = ClusterSetup.publish(operator, files.declarations());
            console.line("published the Lab's declarations as revision " + configuration.revision());
            List<Result> results = runJobs(cluster, configuration);
            summarize(results, operator.region());
            if (keepSeconds > 0) {
                console.line("the cluster keeps running for " + keepSeconds + " s; status page: "
                        + cluster.entryUrls().getFirst() + "/status (password: the operators' token)");
                JobWaiter.sleep(keepSeconds * 1_000L);
            }
            return results.stream().allMatch(Result::correct) ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private List<Result> runJobs(LabCluster cluster, Configuration configuration) {
        List<JobSubmission> submissions = IntStream.range(0, rounds)
                .boxed()
                .flatMap(round -> LabFiles.JOBS.keySet().stream().map(files::submission))
                .toList();
        long startNanoseconds = System.nanoTime();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Result>> futures = IntStream.range(0, submissions.size())
                    .mapToObj(index -> executor.submit(() -> {
                        JobSubmission submission = submissions.get(index);
                        String entryUrl = cluster.entryUrls()
                                .get(index % cluster.entryUrls().size());
                        try (EntryClient client = cluster.caller(submission.team(), List.of(entryUrl))) {
                            return new DemoJob(
                                            client,
                                            submission,
                                            configuration,
                                            text -> printProgress(startNanoseconds, index, text))
                                    .run();
                        }
                    }))
                    .toList();
            return futures.stream().map(Demo::await).toList();
        }
    }

    private void printProgress(long startNanoseconds, int index, String text) {
        console.line(
                String.format("%6.2f s  job %d, %s", (System.nanoTime() - startNanoseconds) / 1e9, index + 1, text));
    }

    private void summarize(List<Result> results, JsonObject region) {
        Map<String, List<Result>> byTemplate =
                results.stream().collect(Collectors.groupingBy(Result::template, TreeMap::new, Collectors.toList()));
        byTemplate.forEach((template, templateResults) -> {
            LongSummaryStatistics times = templateResults.stream()
                    .mapToLong(Result::completionMilliseconds)
                    .summaryStatistics();
            console.line(String.format(
                    "%-14s %d of %d answers complete and correct; completion time %d ms on average, %d ms at most",
                    template,
                    templateResults.stream().filter(Result::correct).count(),
                    templateResults.size(),
                    Math.round(times.getAverage()),
                    times.getMax()));
        });
        results.stream()
                .filter(result -> !result.correct())
                .forEach(result -> console.error(result.template() + ": " + result.detail()));
        console.line(String.format("fragmentation %.1f %%", region.getDouble("fragmentation") * 100));
    }

    private static Result await(Future<Result> future) {
        try {
            return future.get();
        } catch (ExecutionException exception) {
            return new Result("unknown", false, 0, String.valueOf(exception.getCause()));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.INTERNAL, "interrupted");
        }
    }
}
