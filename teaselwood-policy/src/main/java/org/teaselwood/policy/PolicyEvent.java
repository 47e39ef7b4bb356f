package org.teaselwood.policy;

import java.util.List;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobIdentifier;

/** Input event of the policy. Events are immutable; the time of an event is passed separately. */
public sealed interface PolicyEvent {
    /** A configuration with a higher revision came into force. */
    record ConfigurationChanged(Configuration configuration) implements PolicyEvent {}

    /** A backend server joined, announced changed properties, or is reachable again. */
    record ServerJoined(BackendServer server) implements PolicyEvent {}

    /** A backend server accepts no new work because it is drained or its agent is unresponsive; its work continues. */
    record ServerCordoned(String server) implements PolicyEvent {}

    /**
     * A backend server was lost with everything that ran on it. Every attempt with a part on it still ends with its own
     * {@link AttemptEnded}; until then the attempt holds its parts on other servers.
     */
    record ServerLost(String server) implements PolicyEvent {}

    /** A job was accepted and is waiting. */
    record JobSubmitted(JobRequest request) implements PolicyEvent {}

    /**
     * A job was found to hold resources or to run on the given servers, while a new placer rebuilds its state. The
     * accelerators are those that the agents report.
     */
    record JobAdopted(
            JobRequest request,
            AttemptIdentifier attempt,
            List<PartPlacement> placements,
            boolean guaranteed,
            long startedMilliseconds)
            implements PolicyEvent {}

    /** The caller cancelled a job; a running attempt of it still ends with {@link AttemptEnded}. */
    record JobCancelled(JobIdentifier job) implements PolicyEvent {}

    /** All parts of an attempt have started. */
    record AttemptStarted(AttemptIdentifier attempt) implements PolicyEvent {}

    /** An attempt took a checkpoint; work before it is not lost when the attempt is stopped. */
    record AttemptCheckpointed(AttemptIdentifier attempt) implements PolicyEvent {}

    /**
     * An attempt ended and holds no resources.
     *
     * @param result how the attempt ended
     * @param servers the backend servers to which the result is attributed: those that refused or failed
     */
    record AttemptEnded(AttemptIdentifier attempt, AttemptResult result, List<String> servers) implements PolicyEvent {}

    /**
     * Resource usage of one running attempt, reported with a lag.
     *
     * @param accelerators accelerators in use, summed over the parts
     * @param memoryMebibytes largest memory usage of any part, in MiB
     */
    record UsageReported(AttemptIdentifier attempt, double accelerators, long memoryMebibytes) implements PolicyEvent {}

    /** A probe of a quarantined backend server ended. */
    record ProbeEnded(String server, boolean succeeded) implements PolicyEvent {}

    /** Advance of time; sent at least once per second. */
    record Tick() implements PolicyEvent {}
}
