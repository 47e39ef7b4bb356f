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
 * The jobs of the region, with their request keys and answers. Finished jobs are kept for the retention and are
 * bounded in number; answers are bounded in bytes and the oldest ones are read back from the key-value service.
 */
public final class JobTable {
    private static final int MAXIMUM_FINISHED = 20_000;
    /** A short request is never written; its caller fetches the answer soon or repeats it. */
    private static final long UNRECORDED_RETENTION_MILLISECONDS = 5 * 60 * 1000;

    private final Map<JobIdentifier, Job> jobs = new TreeMap<>();
    private final Map<RequestKey, JobIdentifier> keys = new TreeMap<>();
    private final Map<JobIdentifier, Job> finished = new LinkedHashMap<>();
    private final Map<JobIdentifier, Answer> answers = new LinkedHashMap<>();
    private final Map<String, Integer> unfinishedOfTeam = new TreeMap<>();
    private long answerBytes;

    /** A request key of a team. Immutable. */
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

    /** A job of the table reached its final state. */
    public void finished(Job job, Optional<Answer> answer) {
        unfinishedOfTeam.merge(job.team(), -1, Integer::sum);
        finished.put(job.identifier(), job);
        answer.ifPresent(whole -> keep(job, whole));
    }

    /** Keeps an answer in memory. */
    public void keep(Job job, Answer answer) {
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

    /** The job of an identifier. */
    public Optional<Job> find(JobIdentifier job) {
        return Optional.ofNullable(jobs.get(job));
    }

    /** The job that was submitted under the request key of a submission. */
    public Optional<Job> findByKey(JobSubmission submission) {
        return Optional.ofNullable(keys.get(keyOf(submission))).map(jobs::get);
    }

    /** The answer of a job, when it is in memory. */
    public Optional<Answer> answer(JobIdentifier job) {
        return Optional.ofNullable(answers.get(job));
    }

    /** All jobs, ordered by identifier. */
    public Collection<Job> all() {
        return jobs.values();
    }

    /** Jobs that have not finished, ordered by identifier. */
    public List<Job> unfinished() {
        return jobs.values().stream().filter(job -> !job.state().isFinal()).toList();
    }

    /** Number of jobs that have not finished. */
    public int unfinishedCount() {
        return jobs.size() - finished.size();
    }

    /** Number of jobs of a team that wait. */
    public int waitingOf(String team) {
        if (unfinishedOfTeam.getOrDefault(team, 0) == 0) {
            return 0;
        }
        return countOf(team, JobState.QUEUED);
    }

    /** Upper bound of the jobs of a team that wait. */
    public int unfinishedOf(String team) {
        return unfinishedOfTeam.getOrDefault(team, 0);
    }

    /**
     * Drops answers beyond the memory for them that can be read back, and finished jobs beyond their number or time.
     *
     * @param expired told of each job whose retention ended
     */
    public void trim(long epoch, long retentionMilliseconds, long maximumAnswerBytes, Consumer<Job> expired) {
        List<JobIdentifier> readable = new ArrayList<>();
        long excess = answerBytes - maximumAnswerBytes;
        for (Map.Entry<JobIdentifier, Answer> entry : answers.entrySet()) {
            if (excess <= 0) {
                break;
            }
            Job job = jobs.get(entry.getKey());
            if (job.written()) {
                readable.add(entry.getKey());
                excess -= entry.getValue().length();
            }
        }
        readable.forEach(this::dropAnswer);
        List<Job> old = finished.values().stream()
                .filter(job -> epoch - job.finishedEpoch()
                        >= (job.recorded() ? retentionMilliseconds : UNRECORDED_RETENTION_MILLISECONDS))
                .toList();
        old.forEach(job -> {
            remove(job);
            expired.accept(job);
        });
        List<Job> surplus = finished.values().stream()
                .limit(Math.max(0, finished.size() - MAXIMUM_FINISHED))
                .toList();
        surplus.forEach(this::remove);
    }

    /** Drops everything. */
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
