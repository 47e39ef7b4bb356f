package org.teaselwood.workload.record;

/**
 * Identifies a chunk of the progress of a job that is stored as a value of its own. Immutable.
 *
 * @param occurrence number of the occurrence that the tasks of the chunk belong to, from 0
 * @param number number of the chunk within the occurrence, from 0
 */
public record ChunkId(int occurrence, int number) {}
