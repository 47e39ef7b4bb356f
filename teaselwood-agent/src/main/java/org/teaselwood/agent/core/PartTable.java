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
    private final NavigableMap<TaskIdentifier, Part> ghosts = new TreeMap<>();
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

    List<Part> of(AttemptIdentifier attempt) {
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
        return parts.values().stream().filter(Part::live);
    }

    /** Returns the parts that AgentHello reports: those not forgotten, and the fenced ones. */
    List<HeldPart> held() {
        List<HeldPart> held = new ArrayList<>();
        parts.values().stream().filter(part -> !part.forgotten).forEach(part -> held.add(part.held()));
        fences.fencedParts().forEach(fence -> held.add(new HeldPart(fence.report(), NO_SPECIFICATION)));
        return held;
    }

    /** Returns why the resources cannot be reserved; empty if they can. */
    String obstacle(PartResources resources, int firstAccelerator) {
        return ledger.obstacle(resources, firstAccelerator);
    }

    void add(Part part) {
        parts.put(part.task, part);
        if (part.phase.holdsResources()) {
            ledger.reserve(part.specification.resources(), part.firstAccelerator);
        }
    }

    /** Marks a part as LOST whose task may still run; keeps its resources reserved until {@link #ended}. */
    void loseUncertainly(Part part, long now) {
        ledger.reserve(part.specification.resources(), part.firstAccelerator);
        ghosts.put(part.task, part);
        change(part, PartPhase.LOST, now);
    }

    /** Returns the lost parts whose tasks may still run. */
    List<Part> ghosts() {
        return List.copyOf(ghosts.values());
    }

    boolean isGhost(TaskIdentifier task) {
        return ghosts.containsKey(task);
    }

    /** Frees the resources of a lost part whose task no longer runs. */
    void ended(Part ghost) {
        ghosts.remove(ghost.task);
        ledger.free(ghost.specification.resources(), ghost.firstAccelerator);
    }

    /** Changes the phase of a part and reports it. */
    void change(Part part, PartPhase phase, long now) {
        changeSilently(part, phase, now);
        report(part);
    }

    /** Changes the phase of a part without a report; the caller reports it, for example in a reply. */
    void changeSilently(Part part, PartPhase phase, long now) {
        if (part.phase.holdsResources() && !phase.holdsResources()) {
            ledger.free(part.specification.resources(), part.firstAccelerator);
        }
        part.phase = phase;
        part.changedAt = now;
    }

    void report(Part part) {
        part.reportedProgress = part.progressPercent;
        if (!part.forgotten) {
            link.send(new AgentMessage.PartChanged(part.report()));
        }
    }

    void usage(AgentMessage.PartUsage usage) {
        link.send(usage);
    }

    /** Fences an attempt and releases its unstarted parts; reports all of them except the one the caller reports. */
    void fence(AttemptIdentifier attempt, TaskIdentifier answered, long now) {
        fences.fence(attempt, now);
        for (Part part : of(attempt)) {
            if (part.phase == PartPhase.HELD || part.phase == PartPhase.COMMITTED) {
                changeSilently(part, PartPhase.RELEASED, now);
                parts.remove(part.task);
                fences.remember(part.task, part.report(), ErrorKind.ATTEMPT_FENCED, "released", now);
                if (!part.task.equals(answered)) {
                    link.send(new AgentMessage.PartChanged(part.report()));
                }
            }
        }
    }

    /** Returns the report of a part that was never held here. */
    static PartReport unknown(TaskIdentifier task) {
        return new PartReport(
                task.attempt(), task.part(), 0, PartPhase.RELEASED, PartResources.ofAccelerators(0), -1, 0, 0, "");
    }

    /** Removes a part that holds no resources. */
    void drop(Part part) {
        parts.remove(part.task);
    }
}
