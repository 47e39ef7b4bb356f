package org.teaselwood.entry.placer;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.teaselwood.entry.jobs.Job;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.Level;
import org.teaselwood.model.ParameterRule;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;
import org.teaselwood.protocol.message.TaskSpecification;

/** Converts a job to the specification that is sent to agents, and such a specification back to a job. */
final class TaskSpecifications {
    private TaskSpecifications() {}

    static TaskSpecification of(Job job, int servers, boolean guaranteed) {
        Template template = job.template();
        return new TaskSpecification(
                job.team(),
                template.name(),
                template.command(),
                template.resolveParameters(job.submission().parameters()),
                template.shape().part(),
                template.shape().parts(),
                servers,
                job.repeatable(),
                job.submission().urgent(),
                guaranteed,
                template.checkpointable(),
                job.submittedAt(),
                job.submission().requestKey(),
                job.resumeFrom());
    }

    /**
     * Returns a job that is known only from an agent's report. Its parameters are already resolved, so they become the
     * defaults of its template; a resubmission that omits parameters therefore still matches the job.
     */
    static Job jobOf(
            JobIdentifier identifier, String region, TaskSpecification specification, Configuration configuration) {
        JobSubmission submission = new JobSubmission(
                specification.requestKey(),
                true,
                specification.team(),
                specification.template(),
                specification.parameters(),
                0,
                specification.repeatable(),
                specification.urgent());
        Template template = templateOf(specification, configuration.templates().get(specification.template()));
        Job job = new Job(identifier, region, submission, template, specification.submittedMilliseconds());
        job.checkpointed(specification.resumeFrom());
        job.markAccepted();
        job.markStartUncertain();
        job.storeRevision(Job.REVISION_UNKNOWN);
        return job;
    }

    private static Template templateOf(TaskSpecification specification, Template configured) {
        List<ParameterRule> rules = specification.parameters().entrySet().stream()
                .map(entry -> new ParameterRule(entry.getKey(), "(?s).*", Optional.of(entry.getValue())))
                .toList();
        Level adjacency = configured == null ? Level.REGION : configured.shape().adjacency();
        return new Template(
                specification.template(),
                configured == null ? WorkKind.JOB : configured.kind(),
                new Shape(specification.parts(), specification.resources(), adjacency),
                configured == null ? Set.of() : configured.capabilities(),
                rules,
                configured == null ? 0 : configured.declaredRunMilliseconds(),
                specification.checkpointable(),
                configured == null ? 1 : configured.maximumAttempts(),
                specification.command());
    }
}
