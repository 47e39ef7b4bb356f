package org.teaselwood.workload.model;

import java.util.Optional;

/**
 * Name of one task. Immutable.
 *
 * @param job identifier of the job; holds no dot
 * @param occurrence occurrence of a scheduled job, from 0; 0 for any other job
 * @param step number of the step, from 0
 * @param index number of the task within its step, from 0
 */
public record TaskName(String job, int occurrence, int step, int index) {
    private static final int FIELDS = 4;

    /** Reads the text form; empty for any other text. */
    public static Optional<TaskName> parse(String text) {
        String[] fields = text.split("\\.", -1);
        if (fields.length != FIELDS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskName(
                    fields[0], Integer.parseInt(fields[1]), Integer.parseInt(fields[2]), Integer.parseInt(fields[3])));
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
