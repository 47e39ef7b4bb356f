import java.util.List;

/** One of seven executors goes down and up by turns under its identifier, shortly after it has started a task. */
public final class FlappingExecutor {
    private static final String JOB = "00000000000000aa";
    private static final int EXECUTORS = 7;
    private static final long PERIOD_MILLISECONDS = 1_400;
    private static final long FLAPPING_MILLISECONDS = 6_500;

    /** Time after the disruption at which jobs are asked for. */
    private static final int FINISH_SECONDS = 14;

    private FlappingExecutor() {}

    public static void main(String[] arguments) {
        Case.run(arguments[0], FlappingExecutor::play);
    }

    private static boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 120)) {
            deployment.startEntry("entry-1");
            for (int number = 1; number <= EXECUTORS; number++) {
                deployment.startExecutor("i-" + number, 8);
            }
            if (!deployment.awaitReady("00000000000000ff", 40_000)) {
                return false;
            }
            Thread.sleep(4_000);
            if (!deployment.submit(0, JOB, Deployment.job("4000", 1, 8))) {
                return false;
            }
            List<Executor> busy = List.of();
            for (int poll = 0; poll < 100 && busy.isEmpty(); poll++) {
                Thread.sleep(50);
                busy = deployment.executors(true);
            }
            if (busy.isEmpty()) {
                return false;
            }
            Executor flapping = busy.getFirst();
            Thread.sleep(300);
            for (long at = 0; trouble && at < FLAPPING_MILLISECONDS; at += PERIOD_MILLISECONDS) {
                deployment.run(() -> flapping.crash(PERIOD_MILLISECONDS / 2));
                Thread.sleep(PERIOD_MILLISECONDS);
            }
            for (int second = 0; second < FINISH_SECONDS; second++) {
                Thread.sleep(1_000);
                record.add("GET " + JOB + " answered " + deployment.state(0, JOB));
            }
            if (!deployment.state(0, JOB).contains("completed")) {
                record.violation("LOST: job " + JOB + " is " + deployment.state(0, JOB) + " after "
                        + record.starts(JOB) + " start and " + record.failedEnds(JOB) + " ends failed; maxAttempts is 3");
            }
            return true;
        }
    }
}
