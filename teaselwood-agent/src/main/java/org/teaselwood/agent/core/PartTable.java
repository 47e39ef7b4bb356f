package org.teaselwood.agent.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.PartResources;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.AgentMessage.HeldPart;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.protocol.worker.TaskIdentifier;

/**
 * The parts of this backend server with their resources and fences. Every change of phase is made here, so that a part
 * holds resources exactly while its phase or a possibly running task requires them, and every change is reported once.
 * Not thread-safe.
 */
final class PartTable {
    /** Placeholder specification of a fenced part in AgentHello; a placer cannot adopt the job from a fence. */
    private static final TaskSpecification NO_SPECIFICATION = new TaskSpecification(
            "", "", "", Map.of(), PartResources.ofAccelerators(0), 0, 0, false, false, false, false, 0, "", "");

    private final NavigableMap<TaskIdentifier, Part> parts = new TreeMap<>();
    private final NavigableMap<TaskIdentifier, Part> orphans = new TreeMap<>();
    private final FenceTable fences = new FenceTable();
    private final ResourceLedger ledger;
    private final EntryLink link;

    PartTable(BackendServer server, EntryLink link) {
        this.ledger = new ResourceLedger(server);
        this.link = link;
    }

    FenceTable fences() {
        return fences;
    }

    Part find(TaskIdentifier task) {
        return parts.get(task);
    }

    Collection<Part> all() {
        return parts.values();
    }

    List<Part> ofAttempt(AttemptIdentifier attempt) {
        return parts
                .subMap(
                        new TaskIdentifier(attempt, Integer.MIN_VALUE),
                        true,
                        new TaskIdentifier(attempt, Integer.MAX_VALUE),
                        true)
                .values()
                .stream()
                .toList();
    }

    Stream<Part> live() {
        return parts.values().stream().filter(Part::isLive);
    }

    /** Returns the parts that AgentHello reports: those not forgotten, and the fenced ones. */
    List<HeldPart> heldParts() {
        List<HeldPart> held = new ArrayList<>();
        parts.values().stream().filter(part -> !part.forgotten).forEach(part -> held.add(part.toHeldPart()));
        fences.fencedParts().forEach(fence -> held.add(new HeldPart(fence.report(), NO_SPECIFICATION)));
        return held;
    }

    /** Returns why the resources cannot be reserved; empty if they can. */
    String reservationError(PartResources resources, int firstAccelerator) {
        return ledger.reservationError(resources, firstAccelerator);
    }

    void add(Part part) {
        parts.put(part.task, part);
        if (part.phase.holdsResources()) {
            ledger.reserve(part.specification.resources(), part.firstAccelerator);
        }
    }

    /** Marks a part as LOST whose task may still run; keeps its resources reserved until {@link #removeOrphan}. */
    void markOrphaned(Part part, long now) {
        ledger.reserve(part.specification.resources(), part.firstAccelerator);
        orphans.put(part.task, part);
        changePhase(part, PartPhase.LOST, now);
    }

    /** Returns the lost parts whose tasks may still run. */
    List<Part> orphans() {
        return List.copyOf(orphans.values());
    }

    boolean isOrphan(TaskIdentifier task) {
        return orphans.containsKey(task);
    }

    /** Frees the resources of a lost part whose task no longer runs. */
    void removeOrphan(Part orphan) {
        orphans.remove(orphan.task);
        ledger.free(orphan.specification.resources(), orphan.firstAccelerator);
    }

    /** Changes the phase of a part and reports it. */
    void changePhase(Part part, PartPhase phase, long now) {
        changePhaseWithoutReport(part, phase, now);
        report(part);
    }

    /** Changes the phase of a part without a report; the caller reports it, for example in a reply. */
    void changePhaseWithoutReport(Part part, PartPhase phase, long now) {
        if (part.phase.holdsResources() && !phase.holdsResources()) {
            ledger.free(part.specification.resources(), part.firstAccelerator);
        }
        part.phase = phase;
        part.phaseChangedAt = now;
    }

    void report(Part part) {
        part.reportedProgress = part.progressPercent;
        if (!part.forgotten) {
            link.send(new AgentMessage.PartChanged(part.report()));
        }
    }

    void sendUsage(AgentMessage.PartUsage usage) {
        link.send(usage);
    }

    /** Fences an attempt and releases its unstarted parts; reports all of them except the one the caller reports. */
    void fence(AttemptIdentifier attempt, TaskIdentifier excluded, long now) {
        fences.fence(attempt, now);
        for (Part part : ofAttempt(attempt)) {
            if (part.phase == PartPhase.HELD || part.phase == PartPhase.COMMITTED) {
                changePhaseWithoutReport(part, PartPhase.RELEASED, now);
                parts.remove(part.task);
                fences.addPart(part.task, part.report(), ErrorKind.ATTEMPT_FENCED, "released", now);
                if (!part.task.equals(excluded)) {
                    link.send(new AgentMessage.PartChanged(part.report()));
                }
            }
        }
    }

    /** Returns the report of a part that was never held here. */
    static PartReport neverHeldReport(TaskIdentifier task) {
        return new PartReport(
                task.attempt(), task.part(), 0, PartPhase.RELEASED, PartResources.ofAccelerators(0), -1, 0, 0, "");
    }

    /** Removes a part that holds no resources. */
    void remove(Part part) {
        parts.remove(part.task);
    }
}
