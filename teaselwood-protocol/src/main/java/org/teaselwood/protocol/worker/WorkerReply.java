package org.teaselwood.protocol.worker;

import java.util.List;
import org.teaselwood.protocol.message.TaskSpecification;

/** Replies of a worker to its agent. */
public sealed interface WorkerReply {
    /** A task with what it was run from. */
    record AdoptedTask(WorkerTask status, TaskSpecification specification, int firstAccelerator) {}

    /**
     * Reply to Adopt: every task, finished ones included.
     *
     * @param workerIncarnation differs for every start of the worker
     */
    record Adopted(long workerIncarnation, long version, List<AdoptedTask> tasks) implements WorkerReply {
        /** Reply of a worker that is never started again. */
        public Adopted(long version, List<AdoptedTask> tasks) {
            this(0, version, tasks);
        }
    }

    /**
     * Reply to ListTasks.
     *
     * @param workerIncarnation differs for every start of the worker
     * @param version differs after every change of a task's state or checkpoint, and after a restart of the worker
     */
    record Tasks(long workerIncarnation, long version, List<WorkerTask> tasks) implements WorkerReply {
        /** Reply of a worker that is never started again. */
        public Tasks(long version, List<WorkerTask> tasks) {
            this(0, version, tasks);
        }
    }

    /** Reply to Run. */
    record Ran(WorkerTask status) implements WorkerReply {}

    /** The call was carried out. */
    record Done() implements WorkerReply {}

    /**
     * Reply to FetchAnswer.
     *
     * @param content the bytes
     * @param length their number
     * @param checksum their CRC-32C
     */
    record AnswerContent(byte[] content, int length, int checksum) implements WorkerReply {}

    /** The worker did not carry out the call; the detail says why. */
    record Refused(Reason reason, String detail) implements WorkerReply {
        /** A call that makes no sense. */
        public Refused(String detail) {
            this(Reason.INVALID, detail);
        }
    }

    /** Why the worker refused a call. */
    enum Reason {
        /** The call makes no sense, now or later. */
        INVALID,
        /** Another agent process has adopted the worker. */
        OTHER_AGENT,
        /** The call was meant for an earlier incarnation of the worker. */
        OTHER_WORKER
    }

    /** No reply came; the call may have been carried out. Never sent over HTTP. */
    record Unavailable(String detail) implements WorkerReply {}
}
