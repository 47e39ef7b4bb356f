package org.teaselwood.protocol.worker;

import java.util.List;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.HttpBodyCodec;

/**
 * Codec for calls and replies of the worker interface: the type number followed by the record, both in
 * MessagePack. Thread-safe.
 */
public final class WorkerCodec {
    private static final List<Class<? extends WorkerCall>> CALLS = List.of(
            WorkerCall.Adopt.class,
            WorkerCall.ListTasks.class,
            WorkerCall.Run.class,
            WorkerCall.Renew.class,
            WorkerCall.Checkpoint.class,
            WorkerCall.Throttle.class,
            WorkerCall.Stop.class,
            WorkerCall.FetchAnswer.class,
            WorkerCall.Forget.class);
    private static final List<Class<? extends WorkerReply>> REPLIES = List.of(
            WorkerReply.Adopted.class,
            WorkerReply.Tasks.class,
            WorkerReply.Ran.class,
            WorkerReply.Done.class,
            WorkerReply.AnswerContent.class,
            WorkerReply.Refused.class);

    private WorkerCodec() {}

    /** Encodes a call. */
    public static byte[] encode(WorkerCall call) {
        return HttpBodyCodec.encode(CALLS.indexOf(call.getClass()), (Record) call);
    }

    /** Encodes a reply other than Unavailable, which is never sent. */
    public static byte[] encode(WorkerReply reply) {
        return HttpBodyCodec.encode(REPLIES.indexOf(reply.getClass()), (Record) reply);
    }

    /**
     * Decodes a call.
     *
     * @throws TeaselwoodException of kind BAD_FRAME if the body does not start with a well-formed call
     */
    public static WorkerCall decodeCall(byte[] body) {
        return HttpBodyCodec.decode(body, CALLS);
    }

    /**
     * Decodes a reply.
     *
     * @throws TeaselwoodException of kind BAD_FRAME if the body does not start with a well-formed reply
     */
    public static WorkerReply decodeReply(byte[] body) {
        return HttpBodyCodec.decode(body, REPLIES);
    }
}
