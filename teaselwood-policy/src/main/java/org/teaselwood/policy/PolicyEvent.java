package org.teaselwood.policy;

import java.util.List;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobIdentifier;

/** What the policy is told. Every event is immutable; the time is given beside it. */
public sealed interface PolicyEvent {
    /** A configuration of a higher revision is in force. */
    record ConfigurationChanged(Configuration configuration) implements PolicyEvent {}

    /** A backend server joined, or announced something else of itself, or is reachable again. */
    record ServerJoined(BackendServer server) implements PolicyEvent {}

    /** A backend server takes no new work, because it is leaving or its agent is silent; its running work goes on. */
    record ServerUnavailable(String server) implements PolicyEvent {}

    /**
     * A backend server is gone with all that ran on it. Every attempt with a part on it still ends with its own
     * {@link AttemptEnded}; until then the attempt holds its parts on other servers.
     */
    record ServerLost(String server) implements PolicyEvent {}

    /** A job was accepted and waits. */
    record JobSubmitted(JobRequest request) implements PolicyEvent {}

    /**
     * A job is known to be held or running on the given servers, found while a new placer rebuilds its view.
     * Accelerators are those that the agents report.
     */
    record JobAdopted(
            JobRequest request,
            AttemptIdentifier attempt,
            List<PartPlacement> placements,
            boolean guaranteed,
            long startedMilliseconds)
            implements PolicyEvent {}

    /** The caller cancelled a job; a running one ends with {@link AttemptEnded}. */
    record JobCancelled(JobIdentifier job) implements PolicyEvent {}

    /** All parts of an attempt started. */
    record AttemptStarted(AttemptIdentifier attempt) implements PolicyEvent {}

    /** The attempt took a checkpoint; work before it is not lost when the attempt is stopped. */
    record AttemptCheckpointed(AttemptIdentifier attempt) implements PolicyEvent {}

    /**
     * An attempt holds nothing any more.
     *
     * @param result how it ended
     * @param servers the backend servers to which the result is ascribed: those that refused or failed
     */
    record AttemptEnded(AttemptIdentifier attempt, AttemptResult result, List<String> servers) implements PolicyEvent {}

    /**
     * Usage of one running attempt, reported with a lag.
     *
     * @param accelerators accelerators in use, summed over the parts
     * @param memoryMebibytes largest memory of any part in MiB
     */
    record UsageReported(AttemptIdentifier attempt, double accelerators, long memoryMebibytes) implements PolicyEvent {}

    /** A probe of a quarantined backend server ended. */
    record ProbeEnded(String server, boolean succeeded) implements PolicyEvent {}

    /** Time has passed; sent at least once a second. */
    record Tick() implements PolicyEvent {}
}
