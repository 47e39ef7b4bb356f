package org.teaselwood.cli.demo;

import java.util.List;
import java.util.stream.IntStream;
import org.teaselwood.model.Answer;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.Template;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.standins.worker.BuiltInCommand;

/** Computes the expected answer of a job from its parameters alone. */
final class ExpectedAnswers {
    private ExpectedAnswers() {}

    /** Returns the expected answers of all parts, joined in part order. */
    static Answer of(JobSubmission submission, Template template) {
        TaskSpecification specification = new TaskSpecification(
                submission.team(),
                template.name(),
                template.command(),
                template.resolveParameters(submission.parameters()),
                template.shape().part(),
                template.shape().parts(),
                1,
                submission.repeatable(),
                submission.urgent(),
                false,
                template.checkpointable(),
                0,
                submission.requestKey(),
                "");
        List<Answer> parts = IntStream.range(0, template.shape().parts())
                .mapToObj(part -> Answer.of(BuiltInCommand.answer(specification, part)))
                .toList();
        return Answer.join(parts);
    }
}
