package org.teaselwood.workload.model;

import java.util.Optional;

/**
 * Name of one task. Immutable.
 *
 * @param job identifier of the job; contains no dot
 * @param occurrence number of the occurrence of a scheduled job, from 0; 0 for any other job
 * @param step number of the step, from 0
 * @param index number of the task within its step, from 0
 */
public record TaskName(String job, int occurrence, int step, int index) {
    private static final int FIELD_COUNT = 4;

    /** Parses the form that {@link #toString} returns; returns empty if the text is malformed. */
    public static Optional<TaskName> parse(String text) {
        String[] fields = text.split("\\.", -1);
        if (fields.length != FIELD_COUNT) {
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
