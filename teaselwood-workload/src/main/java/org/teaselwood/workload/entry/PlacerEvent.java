package org.teaselwood.workload.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.store.KeyValue;
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.placer.AgentConnection;

/** Event that is handled on the placer's duty thread. Immutable. */
sealed interface PlacerEvent {
    /** Result of a request that the placer of a term made; ignored in any other term. */
    sealed interface Result extends PlacerEvent {
        /** Returns the term of the placer that made the request. */
        long term();
    }

    /** Event of an agent's connection; may be dropped, because reports and unanswered orders are repeated. */
    sealed interface FromAgent extends PlacerEvent {}

    /** This entry was elected as the placer of a term. */
    record Elected(long term) implements PlacerEvent {}

    /** This entry stepped down as the placer. */
    record SteppedDown() implements PlacerEvent {}

    /** The stored jobs were read; both lists are null if reading failed. */
    record JobsLoaded(long term, List<KeyValue> progress, List<KeyValue> requests) implements Result {}

    /** Requests of callers were reported by the watch of the store. */
    record RequestsReceived(List<KeyValue> requests) implements PlacerEvent {}

    /** The watch of the requests was opened; it may have missed earlier changes. */
    record WatchOpened() implements PlacerEvent {}

    /** All requests were read; empty if reading failed. */
    record RequestsListed(long term, Optional<List<KeyValue>> requests) implements Result {}

    /** A configuration took effect. */
    record ConfigurationChanged(WorkloadConfiguration configuration) implements PlacerEvent {}

    /** A message of an agent was received. */
    record MessageReceived(AgentConnection connection, WorkMessage message) implements FromAgent {}

    /** The connection of an agent was closed. */
    record AgentDisconnected(AgentConnection connection) implements FromAgent {}

    /** A write took effect. */
    record WriteApplied(long term, long revision) implements Result {}

    /** A condition of a write did not hold; these are the current revisions of all stored progress, by key. */
    record WriteRejected(long term, Map<String, Long> revisions) implements Result {}

    /** Jobs whose retention ended were removed from the store. */
    record JobsRemoved(long term, List<String> jobs) implements Result {}

    /** The removal was rejected, or its outcome is unknown. */
    record RemovalFailed(long term) implements Result {}

    /** The advice service answered. */
    record AdviceReceived(long term, String step, Map<String, String> tickets) implements Result {}

    /** The call of the advice service failed. */
    record AdviceFailed(long term, String step) implements Result {}

    /** The outcome of a write is unknown, or the current revisions could not be read after its rejection. */
    record WriteFailed(long term) implements Result {}
}
