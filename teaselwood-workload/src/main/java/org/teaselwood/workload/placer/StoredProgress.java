package org.teaselwood.workload.placer;

import java.util.List;
import org.teaselwood.workload.record.ChunkId;
import org.teaselwood.workload.record.JobRecord;
import org.teaselwood.workload.record.TaskRecord;

/**
 * Stored progress of a job. Immutable.
 *
 * @param revision revision of the record
 * @param chunks all stored chunks of the job
 */
public record StoredProgress(JobRecord record, long revision, List<Chunk> chunks) {
    /**
     * Stored chunk of the progress of a job. Immutable.
     *
     * @param revision revision of the chunk
     */
    public record Chunk(ChunkId id, List<TaskRecord> tasks, long revision) {
        /** Creates a chunk with a copy of the list. */
        public Chunk {
            tasks = List.copyOf(tasks);
        }
    }

    /** Creates a record with a copy of the list. */
    public StoredProgress {
        chunks = List.copyOf(chunks);
    }
}
