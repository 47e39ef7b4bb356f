package org.teaselwood.workload.placer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.teaselwood.workload.record.ChunkId;
import org.teaselwood.workload.record.JobRecord;
import org.teaselwood.workload.record.StepRecord;
import org.teaselwood.workload.record.TaskRecord;
import org.teaselwood.workload.record.WorkloadJson;
import org.teaselwood.workload.record.WorkloadKeys;

/**
 * Stored progress of one job: its record and, if an occurrence has many tasks, the chunks of them. Mutable; confined to
 * the placer's duty thread.
 *
 * <p>Only chunks that have changed are written. A version of the job that changes more chunks than a transaction holds
 * is stored by several, one after the other. Invariants: every transaction writes the record of the job, and so is
 * conditional on its revision; a version counts as stored when all its changes are; all chunks of a group are written
 * in one transaction. After a change of the placer between two transactions of a version, some tasks are further than
 * others, which is safe because no start of that version has been ordered and no end of it acknowledged.
 */
final class JobProgress {
    private final JobState job;
    private final Optional<ChunkLayout> layout;
    private final Map<ChunkId, StoredChunk> chunks = new HashMap<>();

    /** Changed groups of the version that is being stored. */
    private final Deque<List<ChunkId>> unwritten = new ArrayDeque<>();

    /** Tasks of the chunks in the current transaction, empty for a chunk that it removes. */
    private final Map<ChunkId, Optional<List<TaskRecord>>> inFlight = new LinkedHashMap<>();

    /**
     * Steps that an earlier build has stored in the record of a job with many tasks. They stay there until all chunks
     * are stored; a stored chunk takes precedence over them.
     */
    private List<StepRecord> stepsOfEarlierBuild = List.of();

    /** Version that is being stored. */
    private long version;

    /** Revision of the record, 0 if there is none. */
    private long revision;

    /**
     * Chunk in the store. Immutable.
     *
     * @param tasks stored progress, empty if the outcome of a write is unknown
     * @param revision revision of the value, 0 if there is none
     */
    private record StoredChunk(Optional<List<TaskRecord>> tasks, long revision) {
        boolean holds(List<TaskRecord> expected) {
            return tasks.isPresent() && tasks.get().equals(expected);
        }

        /** Returns whether the stored tasks cannot change any more. */
        boolean isFinished() {
            return tasks.isPresent() && tasks.get().stream().allMatch(TaskRecord::isFinished);
        }
    }

    JobProgress(JobState job) {
        this.job = job;
        this.layout = ChunkLayout.of(job.specification);
    }

    /** Records what the store holds when the job is restored. */
    void restore(StoredProgress stored) {
        revision = stored.revision();
        stepsOfEarlierBuild = layout.isPresent() ? stored.record().steps() : List.of();
        stored.chunks()
                .forEach(
                        chunk -> chunks.put(chunk.id(), new StoredChunk(Optional.of(chunk.tasks()), chunk.revision())));
    }

    /** Returns the tasks of a chunk of an occurrence that has begun, empty if there is no such chunk. */
    List<TaskState> tasksOf(ChunkId id) {
        List<TaskState> tasks = job.occurrences.tasks(id.occurrence());
        return layout.stream()
                .flatMap(found -> found.groups().stream())
                .flatMap(List::stream)
                .filter(chunk -> chunk.number() == id.number() && chunk.end() <= tasks.size())
                .findFirst()
                .map(chunk -> tasks.subList(chunk.first(), chunk.end()))
                .orElse(List.of());
    }

    /**
     * Returns the next writes of the job, empty if they need more room. Exactly one of {@link #written},
     * {@link #rejected} or {@link #failed} is called afterwards.
     *
     * @param maximumWrites largest number of writes
     */
    List<PlacerEffects.RecordWrite> nextWrites(int maximumWrites) {
        if (unwritten.isEmpty()) {
            version = job.version;
            findChangedGroups();
        }
        List<PlacerEffects.RecordWrite> writes = new ArrayList<>();
        long bytes = 0;
        // One write is for the record of the job.
        while (!unwritten.isEmpty()
                && bytes < JobWrites.MAXIMUM_BYTES
                && writes.size() + unwritten.peek().size() < maximumWrites) {
            for (ChunkId id : unwritten.poll()) {
                PlacerEffects.RecordWrite write = writeOf(id);
                writes.add(write);
                bytes += write.size();
            }
        }
        if (writes.isEmpty() && !unwritten.isEmpty()) {
            return List.of();
        }
        writes.addFirst(new PlacerEffects.RecordWrite(
                WorkloadKeys.progress(job.id()),
                Optional.of(WorkloadJson.encode(toRecord(unwritten.isEmpty()))),
                revision));
        return writes;
    }

    /** Returns whether the tasks of the job are still needed in the store. */
    private boolean isNeeded() {
        return !job.phase.isFinal() || job.runs().findAny().isPresent();
    }

    private void findChangedGroups() {
        Set<ChunkId> unneeded = new HashSet<>(chunks.keySet());
        if (layout.isPresent() && isNeeded()) {
            job.occurrences.begun().forEach(occurrence -> {
                List<TaskState> tasks = job.occurrences.tasks(occurrence);
                layout.get().groups().forEach(group -> {
                    List<ChunkId> ids = group.stream()
                            .map(chunk -> new ChunkId(occurrence, chunk.number()))
                            .toList();
                    ids.forEach(unneeded::remove);
                    if (group.stream().anyMatch(chunk -> hasChanged(occurrence, chunk, tasks))) {
                        unwritten.add(ids);
                    }
                });
            });
            job.steps().forEach(step -> step.hasUnstoredCheckpoint = false);
        }
        unneeded.forEach(id -> unwritten.add(List.of(id)));
    }

    private boolean hasChanged(int occurrence, ChunkLayout.Chunk chunk, List<TaskState> tasks) {
        StoredChunk stored = chunks.get(new ChunkId(occurrence, chunk.number()));
        if (stored != null && stored.isFinished()) {
            return false;
        }
        Stream<TaskRecord> current =
                tasks.subList(chunk.first(), chunk.end()).stream().map(TaskState::toRecord);
        return stored == null
                ? current.anyMatch(task -> !task.equals(TaskRecord.NEW))
                : !stored.holds(current.toList());
    }

    private PlacerEffects.RecordWrite writeOf(ChunkId id) {
        List<TaskRecord> tasks =
                isNeeded() ? tasksOf(id).stream().map(TaskState::toRecord).toList() : List.of();
        inFlight.put(id, tasks.isEmpty() ? Optional.empty() : Optional.of(tasks));
        return new PlacerEffects.RecordWrite(
                WorkloadKeys.progress(job.id(), id),
                tasks.isEmpty() ? Optional.empty() : Optional.of(WorkloadJson.encodeChunk(tasks)),
                revisionOf(id));
    }

    private long revisionOf(ChunkId id) {
        StoredChunk stored = chunks.get(id);
        return stored == null ? 0 : stored.revision();
    }

    /**
     * Returns the record of the job.
     *
     * @param allChunksStored whether all changed chunks are stored by the same transaction or an earlier one
     */
    private JobRecord toRecord(boolean allChunksStored) {
        List<Integer> chunkedOccurrences =
                layout.isPresent() && isNeeded() ? job.occurrences.begun().toList() : List.of();
        return new JobRecord(
                job.phase,
                job.specification.team(),
                job.occurrences.finishedRanges(),
                chunkedOccurrences,
                allChunksStored ? stepsInRecord() : stepsOfEarlierBuild);
    }

    private List<StepRecord> stepsInRecord() {
        return layout.isPresent()
                ? List.of()
                : job.steps()
                        .filter(StepState::started)
                        .map(StepState::toRecord)
                        .toList();
    }

    /** Records that the writes took effect; passes the version to the job when all its changes are stored. */
    void written(long newRevision) {
        revision = newRevision;
        inFlight.forEach((id, tasks) -> {
            if (tasks.isPresent()) {
                chunks.put(id, new StoredChunk(tasks, newRevision));
            } else {
                chunks.remove(id);
            }
        });
        inFlight.clear();
        if (unwritten.isEmpty()) {
            stepsOfEarlierBuild = List.of();
            job.stored(version);
        }
    }

    /** Records that the writes were rejected, and the current revisions of all stored progress by key. */
    void rejected(Map<String, Long> revisions) {
        failed();
        revision = revisions.getOrDefault(WorkloadKeys.progress(job.id()), 0L);
        chunks.replaceAll((id, chunk) ->
                new StoredChunk(chunk.tasks(), revisions.getOrDefault(WorkloadKeys.progress(job.id(), id), 0L)));
    }

    /** Records that the outcome of the writes is unknown. */
    void failed() {
        inFlight.keySet().forEach(id -> chunks.put(id, new StoredChunk(Optional.empty(), revisionOf(id))));
        inFlight.clear();
        unwritten.clear();
    }
}
