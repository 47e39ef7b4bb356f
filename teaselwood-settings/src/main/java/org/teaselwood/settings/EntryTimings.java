package org.teaselwood.settings;

import java.util.List;

/**
 * Timeouts and intervals of an entry, from the section {@code [timings]}, all in milliseconds. Immutable.
 *
 * @param entryHeartbeat interval between heartbeats to a peer
 * @param entrySuspect time since the last contact after which a peer is no longer a candidate in the ranking
 * @param takeoverWait maximum time that a new placer waits for the snapshots of the relays
 * @param agentSuspect time since the last contact after which an agent is given no new work
 * @param agentLost time since the last contact after which the attempts on an agent are considered lost
 * @param hold time after which a reservation of resources expires
 * @param commit time after which a committed part that has not started is released
 * @param gangRenewal interval between lease renewals of a gang
 * @param reclaimGrace time that a preemption victim has to write its checkpoint
 * @param configurationPoll interval at which the head of the configuration is polled
 * @param entryLease time to live of the entry's key in the key-value service
 * @param entryLeaseRenewal interval between renewals of that lease
 */
public record EntryTimings(
        long entryHeartbeat,
        long entrySuspect,
        long takeoverWait,
        long agentSuspect,
        long agentLost,
        long hold,
        long commit,
        long gangRenewal,
        long reclaimGrace,
        long configurationPoll,
        long entryLease,
        long entryLeaseRenewal) {
    static final String SECTION = "timings";
    private static final long MINIMUM_MILLISECONDS = 10;
    private static final long MAXIMUM_MILLISECONDS = 600_000;

    private static final Setting<Long> ENTRY_HEARTBEAT = timing("entry-heartbeat", 500);
    private static final Setting<Long> ENTRY_SUSPECT = timing("entry-suspect", 2_000);
    private static final Setting<Long> TAKEOVER_WAIT = timing("takeover-wait", 1_500);
    private static final Setting<Long> AGENT_SUSPECT = timing("agent-suspect", 6_000);
    private static final Setting<Long> AGENT_LOST = timing("agent-lost", 20_000);
    private static final Setting<Long> HOLD = timing("hold", 10_000);
    private static final Setting<Long> COMMIT = timing("commit", 10_000);
    private static final Setting<Long> GANG_RENEWAL = timing("gang-renewal", 3_000);
    /** Limited to 3 s: a preemption must complete within the grace period plus 2 s. */
    private static final Setting<Long> RECLAIM_GRACE =
            Setting.withDefault("reclaim-grace", ValueTypes.duration(MINIMUM_MILLISECONDS, 3_000), 3_000L);

    private static final Setting<Long> CONFIGURATION_POLL = timing("configuration-poll", 2_000);
    private static final Setting<Long> ENTRY_LEASE = timing("entry-lease", 10_000);
    private static final Setting<Long> ENTRY_LEASE_RENEWAL = timing("entry-lease-renewal", 3_000);

    private static final SectionSchema SCHEMA = SectionSchema.of(
            ENTRY_HEARTBEAT,
            ENTRY_SUSPECT,
            TAKEOVER_WAIT,
            AGENT_SUSPECT,
            AGENT_LOST,
            HOLD,
            COMMIT,
            GANG_RENEWAL,
            RECLAIM_GRACE,
            CONFIGURATION_POLL,
            ENTRY_LEASE,
            ENTRY_LEASE_RENEWAL);

    /** Default values, as documented on the design page. */
    public static final EntryTimings DEFAULTS =
            of(SCHEMA.parse(new IniDocument.Section(SECTION, 0, List.of()), new ValidationErrors("defaults")));

    static SectionValues parse(SettingsFile file) {
        SectionValues values = file.section(SECTION, SCHEMA);
        requireMultiple(file, values, ENTRY_SUSPECT, ENTRY_HEARTBEAT, 2);
        requireMultiple(file, values, AGENT_LOST, AGENT_SUSPECT, 1);
        requireMultiple(file, values, ENTRY_LEASE, ENTRY_LEASE_RENEWAL, 2);
        return values;
    }

    static EntryTimings of(SectionValues values) {
        return new EntryTimings(
                values.get(ENTRY_HEARTBEAT),
                values.get(ENTRY_SUSPECT),
                values.get(TAKEOVER_WAIT),
                values.get(AGENT_SUSPECT),
                values.get(AGENT_LOST),
                values.get(HOLD),
                values.get(COMMIT),
                values.get(GANG_RENEWAL),
                values.get(RECLAIM_GRACE),
                values.get(CONFIGURATION_POLL),
                values.get(ENTRY_LEASE),
                values.get(ENTRY_LEASE_RENEWAL));
    }

    private static Setting<Long> timing(String key, long defaultMilliseconds) {
        return Setting.withDefault(
                key, ValueTypes.duration(MINIMUM_MILLISECONDS, MAXIMUM_MILLISECONDS), defaultMilliseconds);
    }

    private static void requireMultiple(
            SettingsFile file, SectionValues values, Setting<Long> longer, Setting<Long> shorter, int factor) {
        if (values.has(longer) && values.has(shorter)) {
            file.require(
                    values.get(longer) >= factor * values.get(shorter),
                    SECTION,
                    longer.key(),
                    "must be at least " + factor + " times " + shorter.key());
        }
    }
}
