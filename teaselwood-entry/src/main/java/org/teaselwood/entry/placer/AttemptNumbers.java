package org.teaselwood.entry.placer;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Term;

/**
 * Generates attempt numbers. Agents and job records distinguish the attempts of a job by number alone, so two placers
 * must not assign the same number to different attempts of a job. A number consists of the number of the term, a hash
 * of the entry's incarnation and a counter, and therefore increases from term to term.
 */
final class AttemptNumbers {
    private static final int TERM_BITS = 13;
    private static final int ENTRY_BITS = 8;
    private static final int COUNT_BITS = 10;

    private final EntryContext context;
    private final Map<JobIdentifier, Integer> counts = new TreeMap<>();

    AttemptNumbers(EntryContext context) {
        this.context = context;
    }

    AttemptIdentifier next(JobIdentifier job, Term placerTerm) {
        int count = counts.merge(job, 1, Integer::sum) % (1 << COUNT_BITS);
        int term = (int) (placerTerm.number() % (1 << TERM_BITS));
        int number = term << ENTRY_BITS + COUNT_BITS | entryHash() << COUNT_BITS | count;
        return new AttemptIdentifier(job, number);
    }

    void clear() {
        counts.clear();
    }

    private int entryHash() {
        CRC32C crc = new CRC32C();
        crc.update((context.self() + '\n' + context.settings().incarnation()).getBytes(StandardCharsets.UTF_8));
        return (int) (crc.getValue() % (1 << ENTRY_BITS));
    }
}
