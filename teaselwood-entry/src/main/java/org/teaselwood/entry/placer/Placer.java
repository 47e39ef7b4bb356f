package org.teaselwood.entry.placer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.entry.core.Outbox;
import org.teaselwood.entry.core.Requester;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.entry.jobs.JobKeys;
import org.teaselwood.entry.jobs.JobMirror;
import org.teaselwood.entry.jobs.TransactionBatcher;
import org.teaselwood.entry.membership.Membership;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.Term;
import org.teaselwood.policy.Scheduler;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.EntryMessage.JobRecord;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontReply.Refused;
import org.teaselwood.protocol.message.FrontRequest;

/**
 * The role of placer. The entry that ranks first asks the relays for snapshots of their agents, waits until all of them
 * and the key-value service answered but not longer than the snapshot time, takes the highest term seen plus one and
 * places. It steps down as soon as it sees a higher term: to an entry that ranks above itself for good, to one below
 * for a takeover delay, after which it takes a higher term.
 */
public final class Placer {
    private static final int MAXIMUM_QUEUED = 4_096;
    private static final long RECORDS_RETRY_MILLISECONDS = 1_000;
    /** A placer that was in office for this time is not one of two that displace each other. */
    private static final long SETTLED_MILLISECONDS = 30_000;

    private static final int MAXIMUM_DOUBLINGS = 3;
    private static final long ASK_MILLISECONDS = 500;
    private static final long TRIM_MILLISECONDS = 1_000;

    private final EntryContext context;
    private final Outbox outbox;
    private final Membership membership;
    private final JobMirror mirror;
    private final PlacerState state;
    private final RegionWork work;
    /** Carries out changes of the configuration. */
    private final BiConsumer<Requester, FrontRequest.ChangeConfiguration> changes;

    private final Deque<Queued> queued = new ArrayDeque<>();
    /** Relays that have sent all their snapshots under the present term over their present connection. */
    private final Set<String> answered = new TreeSet<>();
    /** Time of the newest request for snapshots, by relay. */
    private final Map<String, Long> askedAt = new TreeMap<>();

    private Role role = Role.PASSIVE;
    private Term requested = Term.NONE;
    private long collectingSince;
    private long holdOffUntil = Long.MIN_VALUE;
    private long activatedAt;
    private int displacements;
    private boolean readingRecords;
    private long recordsReadAt = Long.MIN_VALUE;
    /** Rises with every change of the role, so that late replies of the key-value service are ignored. */
    private long epoch;

    private long trimmedAt = Long.MIN_VALUE;

    /** What the entry is at present. */
    public enum Role {
        PASSIVE,
        COLLECTING,
        ACTIVE
    }

    /** A request that arrived during the takeover. Immutable. */
    private record Queued(Requester requester, FrontRequest request) {}

    /** Takes the replies of the placer to fronts. */
    public interface Replies {
        /** Replies to a front of this or another entry. */
        void reply(Requester requester, FrontReply reply);
    }

    /** A placer that is passive. */
    public Placer(
            EntryContext context,
            Outbox outbox,
            Membership membership,
            Supplier<Scheduler> schedulers,
            Replies replies,
            BiConsumer<Requester, FrontRequest.ChangeConfiguration> changes) {
        this.changes = changes;
        this.context = context;
        this.outbox = outbox;
        this.membership = membership;
        this.mirror = new JobMirror(context, outbox);
        this.state = new PlacerState(context, outbox, mirror, replies::reply);
        this.work = new RegionWork(state, membership, schedulers, new TransactionBatcher(context));
    }

    /**
     * Checks that the guarantees of a configuration fit on the backend servers that this placer knows.
     *
     * @throws org.teaselwood.model.TeaselwoodException when they do not
     */
    public void checkGuarantees(Configuration next) {
        work.scheduler().checkGuarantees(next);
    }

    /** The present role. */
    public Role role() {
        return role;
    }

    /** The term under which this entry places, NONE when it does not. */
    public Term term() {
        return role == Role.ACTIVE ? state.term() : Term.NONE;
    }

    /** The copy of the job table. */
    public JobMirror mirror() {
        return mirror;
    }

    /** Whether nothing that was accepted is still to be written or copied. */
    public boolean idle() {
        return role != Role.ACTIVE || work.store().idle() && mirror.idle();
    }

    /**
     * A front of this or another entry asks.
     *
     * @return false if this entry is not the placer
     */
    public boolean request(Requester requester, FrontRequest request) {
        if (role == Role.ACTIVE) {
            carryOut(requester, request);
        } else if (role == Role.COLLECTING) {
            queue(requester, request);
        }
        return role != Role.PASSIVE;
    }

    /** The caller of a request has gone. */
    public void abandon(Requester requester) {
        queued.removeIf(request -> request.requester().equals(requester));
        work.abandon(requester);
    }

    /** Messages of agents arrived through their relay. */
    public void fromAgents(EntryMessage.FromAgents batch) {
        batch.messages().forEach(message -> {
            if (message.message() instanceof AgentMessage.StaleTerm stale) {
                context.observeTerm(stale.highest());
            } else if (role != Role.PASSIVE) {
                work.fromAgent(batch.relay(), message, role == Role.ACTIVE);
            }
        });
    }

    /** A relay sent the state of its agents. */
    public void snapshots(EntryMessage.AgentSnapshots snapshots) {
        if (role != Role.PASSIVE) {
            snapshots.agents().forEach(agent -> work.snapshot(snapshots.relay(), agent, role == Role.ACTIVE));
        }
    }

    /** A relay sent all its snapshots, or refused because it knows a higher term. */
    public void snapshotsComplete(String relay, EntryMessage.SnapshotComplete message) {
        context.observeTerm(message.highest());
        if (role == Role.PASSIVE || !message.term().equals(placingTerm())) {
            return;
        }
        if (message.highest().compareTo(message.term()) <= 0) {
            answered.add(relay);
        } else if (role == Role.ACTIVE) {
            // The next tick steps down for the higher term.
            return;
        } else if (membership.ranksAboveSelf(message.highest().entry())) {
            deactivate();
        } else {
            askRelays();
        }
    }

    /** A relay reports silent agents. */
    public void silent(String relay, EntryMessage.SilentAgents message) {
        if (role != Role.PASSIVE && work.silent(relay, message)) {
            relays().forEach(this::askRelay);
        }
    }

    /** Another entry connected (again): what it sent over an earlier connection may be lost. */
    public void entryConnected(String entry) {
        answered.remove(entry);
        if (role != Role.PASSIVE) {
            askRelay(entry);
        }
    }

    /** A configuration came into force. */
    public void configurationChanged() {
        work.configurationChanged(role == Role.ACTIVE);
    }

    /** Takes over, steps down, and does what is due. */
    public void tick() {
        mirror.tick();
        List<String> ranking = membership.ranking();
        boolean first = !ranking.isEmpty() && ranking.getFirst().equals(context.self());
        if (role == Role.ACTIVE) {
            tickActive(ranking, first);
        } else if (role == Role.COLLECTING && !first) {
            deactivate();
        } else if (role == Role.COLLECTING && collected()) {
            activate();
        } else if (role == Role.PASSIVE && first && context.now() >= holdOffUntil) {
            collect();
        }
    }

    /** Sends what is batched. */
    public void flush() {
        if (role == Role.ACTIVE) {
            work.pump();
            String standby = membership.ranking().stream()
                    .filter(entry -> !entry.equals(context.self()))
                    .findFirst()
                    .orElse("");
            mirror.flush(standby, membership.generationOf(standby), state.table());
        }
    }

    private void tickActive(List<String> ranking, boolean first) {
        Term highest = context.highestTerm();
        if (highest.compareTo(state.term()) > 0) {
            boolean above = membership.ranksAboveSelf(highest.entry());
            context.effects().logged("stepping down from " + state.term() + " for " + highest, "", "");
            deactivate();
            holdOffUntil = above || !first ? Long.MIN_VALUE : context.now() + holdOff(highest.entry());
            return;
        }
        work.relaysLost(membership::isAlive);
        askAgain();
        work.tick();
        if (!state.recordsLoaded() && context.now() - RECORDS_RETRY_MILLISECONDS >= recordsReadAt) {
            readRecords();
        }
        if (context.now() - TRIM_MILLISECONDS >= trimmedAt) {
            trimmedAt = context.now();
            work.trim();
        }
    }

    /**
     * Time until a higher term is taken. When the other placer cannot be reached from here, but both reach common
     * entries, both would go on displacing each other; the time is doubled with each displacement.
     */
    private long holdOff(String other) {
        long delay = context.timings().suspicionMilliseconds();
        if (membership.isAlive(other)) {
            return delay;
        }
        boolean settled = context.now() - activatedAt >= SETTLED_MILLISECONDS;
        displacements = settled ? 0 : Math.min(MAXIMUM_DOUBLINGS, displacements + 1);
        return delay << displacements;
    }

    private void collect() {
        role = Role.COLLECTING;
        epoch++;
        collectingSince = context.now();
        state.clear();
        askRelays();
        readRecords();
    }

    private void askRelays() {
        requested = context.highestTerm().next(context.self());
        context.observeTerm(requested);
        answered.clear();
        askedAt.clear();
        relays().forEach(this::askRelay);
    }

    private void askRelay(String relay) {
        askedAt.put(relay, context.now());
        outbox.toEntry(relay, new EntryMessage.SnapshotRequest(placingTerm()));
    }

    /** Asks the relays that came back, and repeats what was not answered. */
    private void askAgain() {
        answered.removeIf(relay -> !membership.isAlive(relay));
        relays().filter(relay -> !answered.contains(relay))
                .filter(relay -> context.now() - ASK_MILLISECONDS >= askedAt.getOrDefault(relay, Long.MIN_VALUE))
                .forEach(this::askRelay);
    }

    private Stream<String> relays() {
        return Stream.concat(Stream.of(context.self()), membership.alive().stream());
    }

    private Term placingTerm() {
        return role == Role.ACTIVE ? state.term() : requested;
    }

    private void readRecords() {
        if (readingRecords) {
            return;
        }
        readingRecords = true;
        recordsReadAt = context.now();
        long asked = epoch;
        String prefix = JobKeys.recordsOf(context.settings().region());
        context.store().call(new StoreCall.ListPrefix(prefix), reply -> {
            readingRecords = false;
            if (asked != epoch) {
                recordsReadAt = Long.MIN_VALUE;
            } else if (reply instanceof StoreReply.Values values) {
                work.keepRecords(values.values());
                state.recordsLoaded(true);
                if (role == Role.ACTIVE) {
                    work.loadRecords();
                }
            }
        });
    }

    private boolean collected() {
        askAgain();
        boolean late = context.now() - collectingSince >= context.timings().snapshotMilliseconds();
        return late || relays().allMatch(answered::contains) && state.recordsLoaded();
    }

    private void activate() {
        Term term = context.highestTerm().entry().equals(context.self())
                ? context.highestTerm()
                : context.highestTerm().next(context.self());
        context.observeTerm(term);
        role = Role.ACTIVE;
        activatedAt = context.now();
        state.begin(term);
        List<JobRecord> copy = List.copyOf(mirror.copy());
        mirror.dropCopy();
        mirror.begin(term);
        context.effects().logged("placing under " + term, "", "");
        work.begin(copy);
        List<Queued> requests = List.copyOf(queued);
        queued.clear();
        requests.forEach(request -> carryOut(request.requester(), request.request()));
    }

    private void deactivate() {
        if (role == Role.ACTIVE) {
            mirror.keep(state.term(), work.records());
            mirror.end();
            work.end();
        }
        role = Role.PASSIVE;
        epoch++;
        state.clear();
        List<Queued> requests = List.copyOf(queued);
        queued.clear();
        requests.forEach(request -> state.reply(request.requester(), Refused.of(ErrorKind.NO_PLACER)));
    }

    private void carryOut(Requester requester, FrontRequest request) {
        if (request instanceof FrontRequest.ChangeConfiguration change) {
            changes.accept(requester, change);
        } else {
            work.request(requester, request);
        }
    }

    private void queue(Requester requester, FrontRequest request) {
        queued.removeIf(earlier -> earlier.requester().equals(requester));
        if (queued.size() >= MAXIMUM_QUEUED) {
            state.reply(requester, Refused.of(ErrorKind.OVERLOADED, "a takeover is under way"));
        } else {
            queued.add(new Queued(requester, request));
        }
    }
}
