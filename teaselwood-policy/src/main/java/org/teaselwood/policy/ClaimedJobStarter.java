package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Starts jobs with claims once their victims have stopped. Confined to its scheduler's thread. */
final class ClaimedJobStarter {
    /** Maximum age of a claim, after which it is dropped because a victim did not stop. */
    static final long MAXIMUM_CLAIM_AGE_MILLISECONDS = 15_000;

    private final PolicyState state;

    ClaimedJobStarter(PolicyState state) {
        this.state = state;
    }

    /** Starts the jobs whose claimed positions are free. */
    void run() {
        for (TrackedJob job : List.copyOf(state.claims.values())) {
            if (isFree(job)) {
                GuaranteeUnit unit = job.unit;
                List<PartPlacement> placements = job.claim.placements();
                state.dropClaim(job);
                state.place(job, placements, unit);
            }
        }
    }

    private boolean isFree(TrackedJob job) {
        Map<String, ResourceSum> wanted = new TreeMap<>();
        for (PartPlacement placement : job.claim.placements()) {
            wanted.computeIfAbsent(placement.server(), name -> new ResourceSum())
                    .add(job.shape().part(), placement.firstAccelerator());
        }
        return wanted.entrySet().stream().allMatch(entry -> {
            ServerState server = state.cluster.find(entry.getKey());
            ResourceSum resources = entry.getValue();
            return server != null
                    && state.mayRun(job, server)
                    && (server.freeAccelerators() & resources.accelerators) == resources.accelerators
                    && server.announced().cores() - server.held.cores >= resources.cores
                    && server.announced().memoryMebibytes() - server.held.memoryMebibytes >= resources.memoryMebibytes
                    && server.announced().slots() - server.held.slots >= resources.slots;
        });
    }

    /** Drops claims whose victims did not stop in time. */
    void dropStale() {
        List<TrackedJob> stale = new ArrayList<>();
        for (TrackedJob job : state.claims.values()) {
            if (state.nowMilliseconds - job.claim.sinceMilliseconds() >= MAXIMUM_CLAIM_AGE_MILLISECONDS) {
                stale.add(job);
            }
        }
        stale.forEach(this::drop);
    }

    /** Drops claims on servers that can no longer accept work. */
    void dropUnusable() {
        List<TrackedJob> unusable = state.claims.values().stream()
                .filter(job -> state.serversOf(job.claim.placements()).stream()
                        .anyMatch(server -> !UnitPacker.canHostUnits(server)))
                .toList();
        unusable.forEach(this::drop);
    }

    private void drop(TrackedJob job) {
        state.dropClaim(job);
        state.queue.add(job, job.queuedMilliseconds);
        state.teamsToTry.add(job.request.team());
    }
}
