import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** A client submits one job with very many subtasks; other clients submit small jobs afterwards. */
public final class LargeJob {
    private static final String LARGE_JOB = "00000000000000aa";

    /** Subtasks of each of the four steps. */
    private static final int MANY_SUBTASKS = 9_500;

    private static final int FEW_SUBTASKS = 10;
    private static final int SMALL_JOBS = 5;

    /** Time after the last submission at which jobs are asked for. */
    private static final int FINISH_SECONDS = 14;

    private static final int CALM_SECONDS = 3;

    private LargeJob() {}

    public static void main(String[] arguments) {
        Case.run(arguments[0], LargeJob::play);
    }

    private static boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 120)) {
            deployment.startEntry("entry-1");
            deployment.startEntry("entry-2");
            deployment.startExecutor("i-1", 8);
            deployment.startExecutor("i-2", 8);
            if (!deployment.awaitReady("00000000000000ff", 40_000)) {
                return false;
            }
            Thread.sleep(2_000);
            if (!deployment.submit(0, LARGE_JOB, largeJob(trouble ? MANY_SUBTASKS : FEW_SUBTASKS))) {
                return false;
            }
            Thread.sleep(500);
            List<String> accepted = new ArrayList<>();
            for (int number = 1; number <= SMALL_JOBS; number++) {
                String id = String.format("%016x", number);
                if (deployment.submit(number % 2, id, Deployment.job("500", 1, 0))) {
                    accepted.add(id);
                }
            }
            boolean idle = true;
            for (int second = 1; second <= FINISH_SECONDS + CALM_SECONDS; second++) {
                Thread.sleep(1_000);
                idle &= second <= FINISH_SECONDS || record.running() == 0;
                record.add("running subtasks: " + record.running() + ", GET " + LARGE_JOB + " answered "
                        + deployment.state(0, LARGE_JOB));
            }
            for (String id : accepted) {
                record.add("GET " + id + " answered " + deployment.state(1, id));
                if (idle && !record.hasBegun(id)) {
                    record.violation("LOST: accepted job " + id + " has nothing running for " + CALM_SECONDS
                            + " s, while nothing at all runs on the executors");
                }
            }
            return true;
        }
    }

    private static JsonObject largeJob(int count) {
        return new JsonObject()
                .put("spec", "1000")
                .put(
                        Wire.STEPS,
                        new JsonArray()
                                .add(new JsonObject().put("count", count).put("gpus", 1))
                                .add(new JsonObject().put("count", count).put("memMb", 60_000))
                                .add(new JsonObject().put("count", count).put("cpu", 10_000))
                                .add(new JsonObject().put("count", count).put("cpu", 2_000)));
    }
}
