package org.teaselwood.workload.placer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.StepSpecification;

/**
 * Division of the tasks of one occurrence, in the order of their steps, into chunks that are stored as values of their
 * own. Immutable.
 *
 * <p>Invariants: the layout depends on the specification alone, so that every placer finds the chunks that another one
 * has stored; the limits of this class therefore belong to the format of the stored progress; the number of tasks of a
 * chunk is limited; the progress of a gang is in one chunk or in one group of chunks, because it has to be stored as a
 * whole.
 *
 * @param groups the chunks in their order; those of a group are written in one transaction
 */
record ChunkLayout(List<List<Chunk>> groups) {
    /** Tasks of an occurrence up to which its progress is stored in the record of the job. */
    private static final long MAXIMUM_TASKS_IN_RECORD = 200;

    /** Tasks of a chunk; their progress takes 150 KB while all of them run. */
    private static final int MAXIMUM_TASKS_OF_CHUNK = 1_000;

    /** Chunks of a gang, which have to fit into one transaction. */
    private static final int MAXIMUM_CHUNKS_OF_GANG = 10;

    /**
     * Range of tasks. Immutable.
     *
     * @param number number of the chunk, from 0
     * @param first first task
     * @param end end of the range, exclusive
     */
    record Chunk(int number, int first, int end) {}

    /** Creates a layout with a copy of the list. */
    ChunkLayout {
        groups = groups.stream().map(List::copyOf).toList();
    }

    /** Returns the layout for the occurrences of a job, empty if they are stored in the record of the job. */
    static Optional<ChunkLayout> of(JobSpecification job) {
        if (job.tasksPerOccurrence() <= MAXIMUM_TASKS_IN_RECORD) {
            return Optional.empty();
        }
        Builder builder = new Builder();
        job.steps().forEach(builder::add);
        builder.closeChunk();
        return Optional.of(new ChunkLayout(builder.groups));
    }

    /** Assigns the tasks of one step after the other. */
    private static final class Builder {
        private final List<List<Chunk>> groups = new ArrayList<>();
        private int chunks;

        /** First task of the chunk that is not closed. */
        private int first;

        /** First task that is not assigned. */
        private int next;

        void add(StepSpecification step) {
            if (step.gang() && next - first + step.count() > MAXIMUM_TASKS_OF_CHUNK) {
                closeChunk();
            }
            if (step.gang() && step.count() > MAXIMUM_TASKS_OF_CHUNK) {
                addGroup(step.count());
            } else {
                addTasks(step.count());
            }
        }

        private void addTasks(int count) {
            int end = next + count;
            while (next < end) {
                next = Math.min(end, first + MAXIMUM_TASKS_OF_CHUNK);
                if (next - first == MAXIMUM_TASKS_OF_CHUNK) {
                    closeChunk();
                }
            }
        }

        private void addGroup(int count) {
            int end = next + count;
            int size = Math.max(MAXIMUM_TASKS_OF_CHUNK, Math.ceilDiv(count, MAXIMUM_CHUNKS_OF_GANG));
            List<Chunk> group = new ArrayList<>();
            while (next < end) {
                next = Math.min(end, first + size);
                group.add(takeChunk());
            }
            groups.add(group);
        }

        void closeChunk() {
            if (next > first) {
                groups.add(List.of(takeChunk()));
            }
        }

        private Chunk takeChunk() {
            Chunk chunk = new Chunk(chunks++, first, next);
            first = next;
            return chunk;
        }
    }
}
