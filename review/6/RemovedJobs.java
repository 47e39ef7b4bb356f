import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The store turns slow and cuts waiting watches while ended jobs are removed after their retention. The rule TWICE is
 * checked by the record.
 */
public final class RemovedJobs {
    /** A job is removed twice this time after its end; short, so that the removal is reached within the case. */
    private static final long STATUS_SECONDS = 8;

    private static final int JOBS = 450;
    private static final int CLIENTS = 6;

    /** Payload of nearly the largest size, so that the list of requests has several pages. */
    private static final String PAYLOAD = "100 " + "x".repeat(3_900);

    private static final long SLOW_LATENCY_MILLISECONDS = 240;
    private static final int CUTS_IN_SLOW_PHASE = 3;
    private static final long CUT_INTERVAL_MILLISECONDS = 1_500;
    private static final long PAUSE_MILLISECONDS = 2_000;
    private static final long LATEST_PHASE_MILLISECONDS = 70_000;

    private RemovedJobs() {}

    public static void main(String[] arguments) {
        Case.run(arguments[0], RemovedJobs::play);
    }

    private static boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, STATUS_SECONDS)) {
            deployment.startEntry("entry-1");
            deployment.startExecutor("i-1", 8);
            deployment.startExecutor("i-2", 8);
            if (!deployment.awaitReady("00000000000000ff", 30_000)) {
                return false;
            }
            long startedAt = System.currentTimeMillis();
            List<String> jobs = submitJobs(deployment);
            while (!jobs.stream().allMatch(id -> record.isDone(id + ".0.0.0"))) {
                if (System.currentTimeMillis() - startedAt > 30_000) {
                    return false;
                }
                Thread.sleep(200);
            }
            record.add(jobs.size() + " jobs were accepted, and all their tasks have ended done");
            Thread.sleep(2 * STATUS_SECONDS * 1_000 - PAUSE_MILLISECONDS);
            while (System.currentTimeMillis() - startedAt < LATEST_PHASE_MILLISECONDS
                    && record.violations().isEmpty()) {
                playSlowPhase(deployment, trouble);
                Thread.sleep(PAUSE_MILLISECONDS);
            }
            return true;
        }
    }

    private static List<String> submitJobs(Deployment deployment) throws InterruptedException {
        List<String> accepted = Collections.synchronizedList(new ArrayList<>());
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        for (int number = 1; number <= JOBS; number++) {
            String id = String.format("%016x", 0x1000000L * number);
            clients.submit(() -> {
                if (deployment.submit(0, id, Deployment.job(PAYLOAD, 1, 0))) {
                    accepted.add(id);
                }
                return null;
            });
        }
        clients.shutdown();
        clients.awaitTermination(40, TimeUnit.SECONDS);
        return List.copyOf(accepted);
    }

    private static void playSlowPhase(Deployment deployment, boolean trouble) throws Exception {
        if (trouble) {
            deployment.record.add("store turns slow");
            deployment.store.latencyMilliseconds = SLOW_LATENCY_MILLISECONDS;
        }
        for (int cut = 0; cut < CUTS_IN_SLOW_PHASE; cut++) {
            if (trouble) {
                deployment.record.add("store cuts the waiting watches");
                deployment.run(deployment.store::cutWatches);
            }
            Thread.sleep(CUT_INTERVAL_MILLISECONDS);
        }
        if (trouble) {
            deployment.record.add("store is fast again");
            deployment.store.latencyMilliseconds = PlatformStore.USUAL_LATENCY_MILLISECONDS;
        }
    }
}
