package org.teaselwood.entry.placer;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.teaselwood.entry.jobs.Job;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.policy.AttemptResult;
import org.teaselwood.policy.PartPlacement;
import org.teaselwood.protocol.message.TaskSpecification;

/** An open attempt of a job with its parts. */
final class Attempt {
    private final AttemptIdentifier identifier;
    private final Job job;
    private final TaskSpecification specification;
    private final List<AttemptPart> parts = new ArrayList<>();
    private final long createdAt;

    /** The identifier that the policy uses; it differs from the one on the wire, whose number depends on the term. */
    private AttemptIdentifier policyIdentifier;

    private Stage stage;
    private long commitSentAt;
    /** Version of the job record that contains the start marker. */
    private long startMarkerVersion;
    /** Whether a start command was sent, or may have been sent by an earlier placer. */
    private boolean startSent;

    private AttemptResult result;
    private List<String> faultyServers = List.of();
    private String failure = "";
    private long graceMilliseconds;
    /** The error that ends the job without another attempt, null for none. */
    private ErrorKind finalKind;

    /** Time at which the policy first requested that the attempt be stopped, negative if it has not. */
    private long reclaimedAt = -1;

    /** The stages of an attempt. */
    enum Stage {
        HOLDING,
        MARKING,
        COMMITTING,
        STARTING,
        RUNNING,
        /** Parts are being released or stopped; the attempt ends when no part holds resources. */
        ENDING,
        /** The attempt was opened by an earlier placer, and the phases of its parts are not all known. */
        RECOVERING
    }

    Attempt(AttemptIdentifier identifier, Job job, TaskSpecification specification, Stage stage, long now) {
        this.identifier = identifier;
        this.job = job;
        this.specification = specification;
        this.stage = stage;
        this.createdAt = now;
        this.startSent = stage == Stage.RECOVERING;
    }

    void enter(Stage next) {
        stage = next;
    }

    void recordReclaim(long now) {
        reclaimedAt = reclaimedAt < 0 ? now : reclaimedAt;
    }

    OptionalLong reclaimedAt() {
        return reclaimedAt < 0 ? OptionalLong.empty() : OptionalLong.of(reclaimedAt);
    }

    void enterMarking(long version) {
        startMarkerVersion = version;
        stage = Stage.MARKING;
    }

    void enterCommitting(long now) {
        commitSentAt = now;
        stage = Stage.COMMITTING;
    }

    void enterStarting() {
        startSent = true;
        stage = Stage.STARTING;
    }

    void end(AttemptResult newResult, List<String> servers, String text, long grace) {
        stage = Stage.ENDING;
        result = newResult;
        faultyServers = servers;
        failure = text;
        graceMilliseconds = grace;
    }

    /** Ends the attempt with an error that ends the job too, because another attempt cannot succeed. */
    void failPermanently(TeaselwoodException exception) {
        finalKind = exception.kind();
        end(AttemptResult.FAILED, List.of(), exception.getMessage(), 0);
    }

    /** Shortens the grace period for a checkpoint; a longer one than the current is ignored. */
    void shortenGrace(long grace) {
        graceMilliseconds = Math.min(graceMilliseconds, grace);
    }

    void setPolicyIdentifier(AttemptIdentifier newIdentifier) {
        policyIdentifier = newIdentifier;
    }

    boolean all(Predicate<AttemptPart> condition) {
        return parts.stream().allMatch(condition);
    }

    List<String> serversOf(Predicate<AttemptPart> condition) {
        return parts.stream()
                .filter(condition)
                .map(AttemptPart::server)
                .filter(server -> !server.isEmpty())
                .distinct()
                .toList();
    }

    /** Returns whether any part may have run. */
    boolean mayHaveRun() {
        return parts.stream().anyMatch(part -> part.started() || startSent && (part.lost() || part.phase() == null));
    }

    boolean spansServers() {
        return serversOf(part -> true).size() > 1;
    }

    /** Returns the newest checkpoint that all parts have, from which the job can be resumed, 0 if there is none. */
    int commonCheckpoint() {
        return parts.stream().mapToInt(AttemptPart::checkpoint).min().orElse(0);
    }

    boolean allStopped() {
        return all(part -> part.phase() == PartPhase.STOPPED);
    }

    List<PartPlacement> placements() {
        return parts.stream()
                .filter(part -> !part.server().isEmpty() && (part.phase() != null || stage != Stage.RECOVERING))
                .map(part -> new PartPlacement(part.index(), part.server(), part.firstAccelerator()))
                .toList();
    }

    AttemptIdentifier identifier() {
        return identifier;
    }

    AttemptIdentifier policyIdentifier() {
        return policyIdentifier;
    }

    Job job() {
        return job;
    }

    TaskSpecification specification() {
        return specification;
    }

    List<AttemptPart> parts() {
        return parts;
    }

    Stage stage() {
        return stage;
    }

    long createdAt() {
        return createdAt;
    }

    long commitSentAt() {
        return commitSentAt;
    }

    long startMarkerVersion() {
        return startMarkerVersion;
    }

    AttemptResult result() {
        return result;
    }

    List<String> faultyServers() {
        return faultyServers;
    }

    String failure() {
        return failure;
    }

    ErrorKind finalKind() {
        return finalKind;
    }

    long graceMilliseconds() {
        return graceMilliseconds;
    }
}
