import java.nio.file.Path;

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class Case {
    private static final long MAXIMUM_SECONDS = 115;

    private Case() {}

    /** Scenario of a case. */
    interface Scenario {
        /**
         * Plays the scenario and reports violations to the record.
         *
         * @param trouble whether the disruption is played
         * @return whether the scenario took place
         */
        boolean play(Record record, boolean trouble) throws Exception;
    }

    static void run(String folder, Scenario scenario) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Thread.ofPlatform().daemon(true).start(() -> {
            try {
                Thread.sleep(MAXIMUM_SECONDS * 1_000);
                System.exit(2);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
        int status = 2;
        try (Record record = new Record(Path.of(folder, "record.txt"))) {
            try {
                boolean played = scenario.play(record, trouble);
                status = !record.violations().isEmpty() ? 1 : played ? 0 : 2;
            } catch (Exception exception) {
                record.add("the case could not run: " + exception);
            }
            record.add("exit status " + status + ", " + record.violations().size() + " violations");
        } catch (Exception exception) {
            System.err.println("no record: " + exception);
        }
        System.exit(status);
    }
}
