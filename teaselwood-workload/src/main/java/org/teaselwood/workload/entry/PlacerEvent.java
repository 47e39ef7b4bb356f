package org.teaselwood.workload.entry;

import java.util.List;
import java.util.Map;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.store.KeyValue;
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.placer.AgentConnection;

/** Event that is handled on the placer's duty thread. Immutable. */
sealed interface PlacerEvent {
    /** Result of a request that the placer of a term made; ignored in any other term. */
    sealed interface Answer extends PlacerEvent {
        /** Returns the term of the placer that made the request. */
        long term();
    }

    /** This entry was elected as the placer of a term. */
    record Elected(long term) implements PlacerEvent {}

    /** This entry stepped down as the placer. */
    record Deposed() implements PlacerEvent {}

    /** The stored jobs were read; both lists are null if reading failed. */
    record Loaded(long term, List<KeyValue> progress, List<KeyValue> requests) implements Answer {}

    /** Requests of callers were read from the store or reported by its watch. */
    record Requested(List<KeyValue> requests) implements PlacerEvent {}

    /** A configuration took effect. */
    record Configured(WorkloadConfiguration configuration) implements PlacerEvent {}

    /** A message of an agent was received. */
    record Received(AgentConnection connection, WorkMessage message) implements PlacerEvent {}

    /** The connection of an agent was closed. */
    record Disconnected(AgentConnection connection) implements PlacerEvent {}

    /** A write took effect. */
    record Written(long term, long revision) implements Answer {}

    /** A condition of a write did not hold; these are the current revisions of the records, by job. */
    record RevisionsRead(long term, Map<String, Long> revisions) implements Answer {}

    /** Jobs whose retention ended were removed from the store. */
    record Removed(long term) implements Answer {}

    /** The removal was rejected, or its outcome is unknown. */
    record RemoveFailed(long term) implements Answer {}

    /** The advice service answered. */
    record Advised(long term, String step, Map<String, String> tickets) implements Answer {}

    /** The call of the advice service failed. */
    record AdviceFailed(long term, String step) implements Answer {}

    /** The outcome of a write is unknown, or the current revisions could not be read after its rejection. */
    record WriteFailed(long term) implements Answer {}
}
