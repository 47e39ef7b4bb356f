package org.teaselwood.policy;

import java.util.List;
import org.teaselwood.model.PartResources;

/** Assigns an adopted attempt to a unit. Confined to its scheduler's thread. */
final class Adoption {
    private final PolicyState state;

    Adoption(PolicyState state) {
        this.state = state;
    }

    /**
     * Adds a guaranteed attempt to a unit of its team that covers its positions, or to an empty unit that can be moved
     * there, and returns whether the attempt is now in a unit. Work that must not be preempted and has no unit gets an
     * excess unit of its own.
     */
    boolean enterUnit(TrackedJob job) {
        if (job.attempt.guaranteed && (enterCovering(job) || enterMoved(job))) {
            return true;
        }
        if (job.mayBorrow()) {
            return false;
        }
        List<GuaranteeUnit> conflicting = state.packer.overlapping(job.shape().part(), job.positions());
        if (conflicting.stream().anyMatch(unit -> !unit.isEmpty())) {
            return false;
        }
        conflicting.forEach(state.plan::unplace);
        state.plan.addExcess(job);
        return true;
    }

    private boolean enterCovering(TrackedJob job) {
        for (GuaranteeUnit unit : state.plan.unitsOf(job.request.team())) {
            if (unit.isPlaced() && !unit.excess && covers(unit, job)) {
                state.plan.enter(unit, job);
                return true;
            }
        }
        return false;
    }

    private static boolean covers(GuaranteeUnit unit, TrackedJob job) {
        PartResources part = job.shape().part();
        return job.positions().stream().map(PartPlacement::server).distinct().allMatch(server -> {
            long parts = job.attempt.partsOn(server);
            long bits = job.attempt.acceleratorsOn(server);
            ResourceSum area = unit.area.getOrDefault(server, ResourceSum.EMPTY);
            ResourceSum occupied = unit.occupied.getOrDefault(server, ResourceSum.EMPTY);
            return (bits & ~(area.accelerators & ~occupied.accelerators)) == 0
                    && parts * part.cores() <= area.cores - occupied.cores
                    && parts * part.memoryMebibytes() <= area.memoryMebibytes - occupied.memoryMebibytes
                    && parts * part.slots() <= area.slots - occupied.slots;
        });
    }

    /**
     * Returns whether the positions of all parts are known. A new placer may know only some positions of a gang; a unit
     * that was moved to these would lose the others permanently.
     */
    private static boolean isComplete(TrackedJob job) {
        boolean takesAccelerators = job.shape().part().accelerators() > 0;
        return job.positions().size() == job.shape().parts()
                && job.positions().stream()
                        .allMatch(position -> !takesAccelerators || position.firstAccelerator() >= 0);
    }

    private boolean enterMoved(TrackedJob job) {
        for (GuaranteeUnit unit : state.plan.unitsOf(job.request.team())) {
            boolean sameShape = unit.isEmpty()
                    && !unit.excess
                    && unit.shape.parts() == job.shape().parts()
                    && isComplete(job)
                    && unit.shape.part().accelerators() == job.shape().part().accelerators();
            if (sameShape && state.packer.moveTo(unit, job.positions())) {
                if (covers(unit, job)) {
                    state.plan.enter(unit, job);
                    return true;
                }
                return false;
            }
        }
        return false;
    }
}
