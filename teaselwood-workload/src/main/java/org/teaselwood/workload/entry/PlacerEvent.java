package org.teaselwood.workload.entry;

import java.util.List;
import java.util.Map;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.store.KeyValue;
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.placer.AgentConnection;

/** What the placer's duty thread handles. Immutable. */
sealed interface PlacerEvent {
    /** An answer to something that the placer of a term asked; it means nothing to that of another. */
    sealed interface Answer extends PlacerEvent {
        /** Term of the placer that asked. */
        long term();
    }

    /** This entry is the placer of a term. */
    record Elected(long term) implements PlacerEvent {}

    /** This entry is not the placer any more. */
    record Deposed() implements PlacerEvent {}

    /** The stored jobs were read. */
    record Loaded(long term, List<KeyValue> progress, List<KeyValue> requests) implements Answer {}

    /** Callers wrote requests. */
    record Requested(List<KeyValue> requests) implements PlacerEvent {}

    /** A configuration is in force. */
    record Configured(WorkloadConfiguration configuration) implements PlacerEvent {}

    /** A message of an agent. */
    record Received(AgentConnection connection, WorkMessage message) implements PlacerEvent {}

    /** A connection of an agent is closed. */
    record Disconnected(AgentConnection connection) implements PlacerEvent {}

    /** A write took effect. */
    record Written(long term, long revision) implements Answer {}

    /** A condition of a write did not hold. */
    record RevisionsRead(long term, Map<String, Long> revisions) implements Answer {}

    /** Jobs that ended long ago are no longer stored. */
    record Removed(long term) implements Answer {}

    /** It is not known whether they are. */
    record RemoveFailed(long term) implements Answer {}

    /** The advice service has answered. */
    record Advised(long term, String step, Map<String, String> tickets) implements Answer {}

    /** The advice service has not answered. */
    record AdviceFailed(long term, String step) implements Answer {}

    /** It is not known whether a write took effect. */
    record WriteFailed(long term) implements Answer {}
}
