package org.teaselwood.workload.placer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.teaselwood.workload.model.Resources;

/**
 * Selects the victims whose preemption frees enough capacity for a step at the least loss of work. Stateless.
 *
 * <p>For each group of servers that could hold the step, every task is assigned greedily to the server where the
 * victims lose least; the group with the smallest total loss is selected. Preempting by lowest priority alone would
 * discard long runs in favour of a short one.
 */
final class Preemption {
    /**
     * Victims and the capacity that their preemption frees for the step. Immutable.
     *
     * @param resources resources that the step will use, by identifier of the backend server
     * @param loss work lost by the victims, in core-seconds, weighted as by {@link VictimRules#loss}
     */
    record Plan(Set<Run> victims, Map<String, Resources> resources, double loss) {}

    /**
     * Rules that determine which runs may be preempted and how much work each preemption loses.
     *
     * @param loss lost work in core-seconds, weighted for runs whose preemption has further costs
     */
    record VictimRules(Predicate<Run> mayStop, ToDoubleFunction<Run> loss) {}

    private Preemption() {}

    /**
     * Returns the plan with the smallest loss, empty if preemption cannot free enough capacity in any group of servers.
     */
    static Optional<Plan> cheapest(
            FreeCapacity freeCapacity,
            Collection<List<ServerState>> groups,
            StepState step,
            VictimRules rules,
            Quarantine quarantine) {
        List<TaskState> waiting =
                step.tasks.stream().filter(TaskState::isWaiting).toList();
        return groups.stream()
                .map(servers -> plan(freeCapacity.copy(), servers, step, waiting, rules, quarantine))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(Plan::loss));
    }

    private static Optional<Plan> plan(
            FreeCapacity freeCapacity,
            List<ServerState> servers,
            StepState step,
            List<TaskState> waiting,
            VictimRules rules,
            Quarantine quarantine) {
        Resources perTask = step.specification.reserved();
        Set<Run> victims = new LinkedHashSet<>();
        Map<String, Resources> taken = new LinkedHashMap<>();
        Map<ServerState, Integer> planned = new HashMap<>();
        for (TaskState task : waiting) {
            Optional<Choice> best = servers.stream()
                    .filter(server -> quarantine.admits(server, task))
                    .filter(server -> FreeCapacity.isWithinLimit(server, step, planned.getOrDefault(server, 0)))
                    .map(server -> chooseVictims(freeCapacity, server, perTask, victims, rules))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparingDouble(Choice::loss));
            if (best.isEmpty()) {
                if (step.gang() || step.specification.maximumPerServer() == 0 || taken.isEmpty()) {
                    return Optional.empty();
                }
                break; // The limit per server leaves too few servers; the tasks that fit start without the others.
            }
            Choice choice = best.get();
            choice.victims().forEach(run -> addWithGang(run, victims, freeCapacity));
            freeCapacity.allocate(choice.server(), perTask);
            taken.merge(choice.server().id, perTask, Resources::plus);
            planned.merge(choice.server(), 1, Integer::sum);
        }
        double loss = victims.stream().mapToDouble(rules.loss()).sum();
        return Optional.of(new Plan(victims, taken, loss));
    }

    private record Choice(ServerState server, List<Run> victims, double loss) {}

    private static Optional<Choice> chooseVictims(
            FreeCapacity freeCapacity, ServerState server, Resources perTask, Set<Run> victims, VictimRules rules) {
        Resources free = freeCapacity.freeOn(server);
        List<Run> chosen = new ArrayList<>();
        List<Run> candidates = server.runs.values().stream()
                .filter(run -> run.state != RunState.STOPPING && !victims.contains(run))
                .filter(rules.mayStop())
                .sorted(Comparator.comparingDouble(run -> lossWithGang(run, rules)))
                .toList();
        for (Run run : candidates) {
            if (free.covers(perTask)) {
                break;
            }
            chosen.add(run);
            free = free.plus(run.reserved());
        }
        if (!free.covers(perTask)) {
            return Optional.empty();
        }
        // Removes victims that a later, larger victim has made unnecessary.
        for (Run run : List.copyOf(chosen)) {
            Resources without = free.minus(run.reserved());
            if (without.covers(perTask)) {
                free = without;
                chosen.remove(run);
            }
        }
        double loss =
                chosen.stream().mapToDouble(run -> lossWithGang(run, rules)).sum();
        return Optional.of(new Choice(server, chosen, loss));
    }

    private static double lossWithGang(Run run, VictimRules rules) {
        return members(run).stream().mapToDouble(rules.loss()).sum();
    }

    private static void addWithGang(Run run, Set<Run> victims, FreeCapacity freeCapacity) {
        members(run).stream()
                .filter(member -> member.state != RunState.STOPPING)
                .filter(victims::add)
                .forEach(member -> freeCapacity.release(member.server, member.reserved()));
    }

    private static List<Run> members(Run run) {
        return run.step.gang() ? run.step.runs().toList() : List.of(run);
    }
}
