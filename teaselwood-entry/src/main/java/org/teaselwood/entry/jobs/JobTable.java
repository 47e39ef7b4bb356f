package org.teaselwood.entry.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.teaselwood.model.Answer;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.JobSubmission;

/**
 * Jobs of the region with their request keys and answers. Finished jobs are kept for the retention and are limited in
 * number. Answers are limited in total size; the oldest ones are dropped from memory and read back from the key-value
 * service on demand. Confined to the core's thread.
 */
public final class JobTable {
    private static final int MAXIMUM_FINISHED = 20_000;
    /**
     * Retention of short requests, which are never written: their callers fetch the answer soon or send the
     * request again.
     */
    private static final long UNPERSISTED_RETENTION_MILLISECONDS = 5 * 60 * 1000;

    private final Map<JobIdentifier, Job> jobs = new TreeMap<>();
    private final Map<RequestKey, JobIdentifier> keys = new TreeMap<>();
    private final Map<JobIdentifier, Job> finished = new LinkedHashMap<>();
    private final Map<JobIdentifier, Answer> answers = new LinkedHashMap<>();
    private final Map<String, Integer> unfinishedOfTeam = new TreeMap<>();
    private long answerBytes;

    /** Request key of a team. Immutable. */
    private record RequestKey(String team, String key) implements Comparable<RequestKey> {
        @Override
        public int compareTo(RequestKey other) {
            int teams = team.compareTo(other.team);
            return teams != 0 ? teams : key.compareTo(other.key);
        }
    }

    /** Adds a job. */
    public void add(Job job) {
        jobs.put(job.identifier(), job);
        keys.putIfAbsent(keyOf(job.submission()), job.identifier());
        if (job.state().isFinal()) {
            finished.put(job.identifier(), job);
        } else {
            unfinishedOfTeam.merge(job.team(), 1, Integer::sum);
        }
    }

    /** Records that a job of the table reached its final state, and caches its answer if there is one. */
    public void finished(Job job, Optional<Answer> answer) {
        unfinishedOfTeam.merge(job.team(), -1, Integer::sum);
        finished.put(job.identifier(), job);
        answer.ifPresent(whole -> cacheAnswer(job, whole));
    }

    /** Caches an answer in memory. */
    public void cacheAnswer(Job job, Answer answer) {
        Answer earlier = answers.put(job.identifier(), answer);
        answerBytes += answer.length() - (earlier == null ? 0 : earlier.length());
    }

    /** Removes a job. */
    public void remove(Job job) {
        jobs.remove(job.identifier());
        keys.remove(keyOf(job.submission()), job.identifier());
        if (finished.remove(job.identifier()) == null) {
            unfinishedOfTeam.merge(job.team(), -1, Integer::sum);
        }
        dropAnswer(job.identifier());
    }

    /** Returns the job with an identifier. */
    public Optional<Job> find(JobIdentifier job) {
        return Optional.ofNullable(jobs.get(job));
    }

    /** Returns the job that was submitted under the request key of a submission. */
    public Optional<Job> findByKey(JobSubmission submission) {
        return Optional.ofNullable(keys.get(keyOf(submission))).map(jobs::get);
    }

    /** Returns the answer of a job if it is in memory. */
    public Optional<Answer> answer(JobIdentifier job) {
        return Optional.ofNullable(answers.get(job));
    }

    /** Returns all jobs, ordered by identifier. */
    public Collection<Job> all() {
        return jobs.values();
    }

    /** Returns the unfinished jobs, ordered by identifier. */
    public List<Job> unfinished() {
        return jobs.values().stream().filter(job -> !job.state().isFinal()).toList();
    }

    /** Returns the number of unfinished jobs. */
    public int unfinishedCount() {
        return jobs.size() - finished.size();
    }

    /** Returns the number of queued jobs of a team. */
    public int queuedCount(String team) {
        if (unfinishedOfTeam.getOrDefault(team, 0) == 0) {
            return 0;
        }
        return countOf(team, JobState.QUEUED);
    }

    /** Returns the number of unfinished jobs of a team, an upper bound of its queued jobs. */
    public int unfinishedCount(String team) {
        return unfinishedOfTeam.getOrDefault(team, 0);
    }

    /**
     * Drops answers that exceed the memory limit and can be read back, and finished jobs that exceed their retention or
     * maximum number.
     *
     * @param expired called with each job whose retention ended
     */
    public void evictExpired(
            long wallClockMilliseconds, long retentionMilliseconds, long maximumAnswerBytes, Consumer<Job> expired) {
        List<JobIdentifier> evictable = new ArrayList<>();
        long excess = answerBytes - maximumAnswerBytes;
        for (Map.Entry<JobIdentifier, Answer> entry : answers.entrySet()) {
            if (excess <= 0) {
                break;
            }
            Job job = jobs.get(entry.getKey());
            if (job.isWritten()) {
                evictable.add(entry.getKey());
                excess -= entry.getValue().length();
            }
        }
        evictable.forEach(this::dropAnswer);
        List<Job> expiredJobs = finished.values().stream()
                .filter(job -> wallClockMilliseconds - job.finishedAt()
                        >= (job.isPersisted() ? retentionMilliseconds : UNPERSISTED_RETENTION_MILLISECONDS))
                .toList();
        expiredJobs.forEach(job -> {
            remove(job);
            expired.accept(job);
        });
        List<Job> excessJobs = finished.values().stream()
                .limit(Math.max(0, finished.size() - MAXIMUM_FINISHED))
                .toList();
        excessJobs.forEach(this::remove);
    }

    /** Removes all jobs and answers. */
    public void clear() {
        jobs.clear();
        keys.clear();
        finished.clear();
        answers.clear();
        unfinishedOfTeam.clear();
        answerBytes = 0;
    }

    private int countOf(String team, JobState state) {
        return (int) jobs.values().stream()
                .filter(job -> job.state() == state && job.team().equals(team))
                .count();
    }

    private void dropAnswer(JobIdentifier job) {
        Answer answer = answers.remove(job);
        if (answer != null) {
            answerBytes -= answer.length();
        }
    }

    private static RequestKey keyOf(JobSubmission submission) {
        return new RequestKey(submission.team(), submission.requestKey());
    }
}
