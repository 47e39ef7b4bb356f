package org.teaselwood.protocol;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.ConnectionMessage;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.Message;
import org.teaselwood.protocol.message.WorkMessage;

/** Registry of the wire numbers of the message types. A number is never reused for another type. Thread-safe. */
public final class MessageTypes {
    private static final Map<Integer, Class<? extends Message>> BY_NUMBER = new HashMap<>();
    private static final Map<Class<? extends Message>, Integer> BY_TYPE = new HashMap<>();

    static {
        register(
                1,
                List.of(
                        ConnectionMessage.Challenge.class,
                        ConnectionMessage.Proof.class,
                        ConnectionMessage.Accepted.class,
                        ConnectionMessage.Closing.class));
        register(
                16,
                List.of(
                        AgentMessage.AgentHello.class,
                        AgentMessage.AgentHeartbeat.class,
                        AgentMessage.PartChanged.class,
                        AgentMessage.PartUsage.class,
                        AgentMessage.PartReply.class,
                        AgentMessage.AnswerPart.class,
                        AgentMessage.StaleTerm.class,
                        AgentMessage.AgentLeaving.class));
        register(
                32,
                List.of(
                        AgentCommand.Welcome.class,
                        AgentCommand.HeartbeatReply.class,
                        AgentCommand.Hold.class,
                        AgentCommand.Commit.class,
                        AgentCommand.Start.class,
                        AgentCommand.Stop.class,
                        AgentCommand.Release.class,
                        AgentCommand.Throttle.class,
                        AgentCommand.RenewGang.class,
                        AgentCommand.ForgetAttempt.class,
                        AgentCommand.ServiceStateChanged.class,
                        AgentCommand.EntryLeaving.class));
        register(
                64,
                List.of(
                        EntryMessage.EntryHello.class,
                        EntryMessage.EntryHeartbeat.class,
                        EntryMessage.FromAgents.class,
                        EntryMessage.ToAgents.class,
                        EntryMessage.ForwardedRequest.class,
                        EntryMessage.ForwardedReply.class,
                        EntryMessage.ForwardedRequestAbandoned.class,
                        EntryMessage.KnownEntries.class,
                        EntryMessage.SnapshotRequest.class,
                        EntryMessage.AgentSnapshots.class,
                        EntryMessage.SnapshotComplete.class,
                        EntryMessage.UnresponsiveAgents.class,
                        EntryMessage.JobRecord.class,
                        EntryMessage.KeyClaim.class,
                        EntryMessage.JobTableChange.class,
                        EntryMessage.JobTableAcknowledged.class,
                        EntryMessage.ConfigurationRequest.class,
                        EntryMessage.ConfigurationDocument.class,
                        EntryMessage.FinishedJob.class));
        register(
                96,
                List.of(
                        FrontRequest.SubmitJob.class,
                        FrontRequest.QueryJob.class,
                        FrontRequest.WaitForJob.class,
                        FrontRequest.FetchAnswer.class,
                        FrontRequest.CancelJob.class,
                        FrontRequest.ExplainJob.class,
                        FrontRequest.QueryRegion.class,
                        FrontRequest.QueryConfiguration.class,
                        FrontRequest.ChangeConfiguration.class));
        register(
                112,
                List.of(
                        FrontReply.JobReply.class,
                        FrontReply.AnswerReply.class,
                        FrontReply.ExplainReply.class,
                        FrontReply.RegionReply.class,
                        FrontReply.ConfigurationReply.class,
                        FrontReply.Refused.class));
        register(
                128,
                List.of(
                        WorkMessage.ServerReport.class,
                        WorkMessage.OrderResult.class,
                        WorkMessage.ServerLeft.class,
                        WorkMessage.StartTask.class,
                        WorkMessage.StopTask.class,
                        WorkMessage.Contact.class,
                        WorkMessage.PaceTask.class));
    }

    private MessageTypes() {}

    /** Returns the wire number of a message type. */
    public static int numberOf(Class<? extends Message> type) {
        return BY_TYPE.get(type);
    }

    /** Returns the message type of a wire number, or null for an unknown number. */
    public static Class<? extends Message> typeOf(int number) {
        return BY_NUMBER.get(number);
    }

    private static void register(int firstNumber, List<Class<? extends Message>> types) {
        int number = firstNumber;
        for (Class<? extends Message> type : types) {
            BY_NUMBER.put(number, type);
            BY_TYPE.put(type, number);
            number++;
        }
    }
}
