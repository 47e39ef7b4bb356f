package org.teaselwood.protocol.worker;

import java.util.List;
import org.teaselwood.protocol.message.TaskSpecification;

/** Replies from a worker to its agent. */
public sealed interface WorkerReply {
    /** Task with the specification and accelerators with which it was run. */
    record AdoptedTask(WorkerTask status, TaskSpecification specification, int firstAccelerator) {}

    /**
     * Reply to Adopt, with all tasks including finished ones.
     *
     * @param workerIncarnation identifier that is unique to this start of the worker
     */
    record Adopted(long workerIncarnation, long version, List<AdoptedTask> tasks) implements WorkerReply {
        /** Creates the reply of a worker that never restarts. */
        public Adopted(long version, List<AdoptedTask> tasks) {
            this(0, version, tasks);
        }
    }

    /**
     * Reply to ListTasks.
     *
     * @param workerIncarnation identifier that is unique to this start of the worker
     * @param version number that differs after every change of a task's state or checkpoint and after a restart of
     *     the worker
     */
    record Tasks(long workerIncarnation, long version, List<WorkerTask> tasks) implements WorkerReply {
        /** Creates the reply of a worker that never restarts. */
        public Tasks(long version, List<WorkerTask> tasks) {
            this(0, version, tasks);
        }
    }

    /** Reply to Run. */
    record Ran(WorkerTask status) implements WorkerReply {}

    /** Confirmation that the call was executed. */
    record Done() implements WorkerReply {}

    /**
     * Reply to FetchAnswer.
     *
     * @param content content of the answer
     * @param length length of the content in bytes
     * @param checksum CRC-32C of the content
     */
    record AnswerContent(byte[] content, int length, int checksum) implements WorkerReply {}

    /** Rejection of a call that the worker did not execute, with the reason and an error detail. */
    record Refused(Reason reason, String detail) implements WorkerReply {
        /** Creates the rejection of an invalid call. */
        public Refused(String detail) {
            this(Reason.INVALID, detail);
        }
    }

    /** Reason for the rejection of a call. */
    enum Reason {
        /** The call is invalid and would be rejected again. */
        INVALID,
        /** Another incarnation of the agent has adopted the worker. */
        OTHER_AGENT,
        /** The call was intended for an earlier incarnation of the worker. */
        OTHER_WORKER
    }

    /** Absence of a reply, so that the call may have been executed. Created by the agent and never sent. */
    record Unavailable(String detail) implements WorkerReply {}
}
