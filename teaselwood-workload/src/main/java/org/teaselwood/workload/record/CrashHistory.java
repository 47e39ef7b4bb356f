package org.teaselwood.workload.record;

import java.util.List;
import java.util.stream.Stream;

/**
 * Crashes of backend servers shortly after they started a task, since the task last survived a start. Immutable.
 *
 * <p>Servers also crash for reasons of their own, alone, by turns or all at once, and a sound task must not be given up
 * for that. A task is therefore given up early only if servers on two VMs crashed shortly after its start with no other
 * trouble that explains it; a crash that coincides with others, or whose circumstances are unknown after a change of
 * the placer, counts only towards the limit on further starts. A server that outlives the start proves the task sound,
 * because a harmful task crashes every server.
 *
 * @param crashes crashes in the order in which they were noticed, one for each incarnation of a server
 * @param furtherStarts number of starts since the third crash, less those that have ended on a sound server
 */
public record CrashHistory(List<Crash> crashes, int furtherStarts) {
    /** History of a task that is not suspected. */
    public static final CrashHistory NONE = new CrashHistory(List.of(), 0);

    /** Number of conclusive crashes after which a task is given up. */
    private static final int CONCLUSIVE_CRASHES = 2;

    /** Number of suspicious or conclusive crashes after which a task is given up. */
    private static final int SUSPICIOUS_CRASHES = 3;

    /** Number of VMs on which these crashes have to occur, since a single VM may be faulty itself. */
    private static final int DIFFERENT_HOSTS = 2;

    /** Number of crashes, of any evidence, after which the further starts are limited. */
    private static final int UNLIMITED_CRASHES = 3;

    /** Number of starts after these crashes. */
    private static final int MAXIMUM_FURTHER_STARTS = 2;

    /** What a crash indicates about a task. */
    public enum Evidence {
        /** Other causes are likely, other tasks had just started too, or the time of the start is unknown. */
        WEAK,
        /** The server crashed shortly after the start of this task only, while other servers were in trouble. */
        SUSPICIOUS,
        /** The server crashed shortly after the start of this task only, and no other server was in trouble. */
        CONCLUSIVE
    }

    /**
     * Crash of one incarnation of a backend server. Immutable.
     *
     * @param host VM of the server
     * @param incarnation start time of the incarnation, in milliseconds since 1970
     * @param evidence what the crash indicates about the task
     */
    public record Crash(String host, long incarnation, Evidence evidence) {}

    /** Creates a history with a copy of the list. */
    public CrashHistory {
        crashes = List.copyOf(crashes);
    }

    /** Returns the history with one more crash, or this history if it contains that incarnation already. */
    public CrashHistory with(Crash crash) {
        boolean known = crashes.stream()
                .anyMatch(
                        earlier -> earlier.host().equals(crash.host()) && earlier.incarnation() == crash.incarnation());
        return known
                ? this
                : new CrashHistory(
                        Stream.concat(crashes.stream(), Stream.of(crash)).toList(), furtherStarts);
    }

    /** Returns the history after a start of the task. */
    public CrashHistory withStart() {
        return crashes.size() < UNLIMITED_CRASHES ? this : new CrashHistory(crashes, furtherStarts + 1);
    }

    /** Returns the history after it has turned out that the last start had no effect or has not crashed its server. */
    public CrashHistory withoutStart() {
        return furtherStarts == 0 ? this : new CrashHistory(crashes, furtherStarts - 1);
    }

    /** Returns whether a server has crashed shortly after a start of the task. */
    public boolean isSuspected() {
        return !crashes.isEmpty();
    }

    /** Returns whether several servers have crashed shortly after starts of the task. */
    public boolean isRepeated() {
        return crashes.size() > 1;
    }

    /** Returns whether one of the crashes has no other likely cause. */
    public boolean hasSuspiciousCrash() {
        return count(Evidence.SUSPICIOUS) > 0;
    }

    /** Returns whether a server on the VM has crashed shortly after a start of the task. */
    public boolean contains(String host) {
        return crashes.stream().anyMatch(crash -> crash.host().equals(host));
    }

    /**
     * Returns whether the task must not be started again.
     *
     * @param running whether the last start may still turn out well
     */
    public boolean isGivenUp(boolean running) {
        if (crashes.size() < CONCLUSIVE_CRASHES) {
            return false;
        }
        boolean differentHosts = crashes.stream()
                        .filter(crash -> crash.evidence() != Evidence.WEAK)
                        .map(Crash::host)
                        .distinct()
                        .count()
                >= DIFFERENT_HOSTS;
        boolean convincing =
                count(Evidence.CONCLUSIVE) >= CONCLUSIVE_CRASHES || count(Evidence.SUSPICIOUS) >= SUSPICIOUS_CRASHES;
        return convincing && differentHosts || !running && furtherStarts >= MAXIMUM_FURTHER_STARTS;
    }

    /** Returns the number of crashes with at least this evidence. */
    private long count(Evidence minimum) {
        return crashes.stream()
                .filter(crash -> crash.evidence().compareTo(minimum) >= 0)
                .count();
    }
}
