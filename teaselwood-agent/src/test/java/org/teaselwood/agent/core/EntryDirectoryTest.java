package org.teaselwood.agent.core;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;

/** Tests the selection of entries. */
class EntryDirectoryTest {
    private static final EntryAddress SEED = new EntryAddress("", "", "127.0.0.9", 1);
    private static final List<EntryAddress> ENTRIES = List.of(entry("e1", "d1"), entry("e2", "d2"), entry("e3", "d1"));

    private final EntryDirectory directory = new EntryDirectory("w1", "d1", List.of(SEED), bound -> bound - 1);

    /** Guards against agents that connect across data centres, or reconnect to the entry that they have just lost. */
    @Test
    void the_other_entry_of_the_own_data_centre_comes_next_then_all_others() {
        assertThat(directory.nextEntry()).isEqualTo(SEED);
        directory.updateEntries("e1", ENTRIES);
        List<EntryAddress> tried = nextEntries(4);
        assertThat(tried.getFirst().entry()).isEqualTo("e3");
        assertThat(tried).containsExactly(ENTRIES.get(0), ENTRIES.get(1), ENTRIES.get(2), SEED);
    }

    /** Guards against agents that stay connected to another data centre once their own has entries again. */
    @Test
    void an_entry_of_the_own_data_centre_is_preferred_to_one_of_another() {
        directory.updateEntries("e2", ENTRIES);
        assertThat(directory.shouldChangeDataCentre()).isTrue();
        assertThat(directory.nextEntry().dataCentre()).isEqualTo("d1");
        assertThat(directory.shouldChangeDataCentre()).isFalse();
    }

    /** Guards against agents that all connect to the same entry. */
    @Test
    void agents_spread_over_the_entries_of_their_data_centre() {
        long first = IntStream.range(0, 200)
                .mapToObj(number -> new EntryDirectory("w" + number, "d1", List.of(SEED), bound -> 0))
                .peek(other -> other.updateEntries("e2", ENTRIES))
                .filter(other -> other.nextEntry().entry().equals("e1"))
                .count();
        assertThat(first).isIn(Range.closed(60L, 140L));
    }

    /** Guards against a reconnection storm, and against unbounded retry delays. */
    @Test
    void the_delay_grows_to_five_seconds_and_is_reset_by_a_welcome() {
        List<Long> delays = new ArrayList<>();
        for (int index = 0; index < 70; index++) {
            delays.add(directory.delayMilliseconds());
            directory.recordFailure();
        }
        assertThat(delays).isInOrder();
        assertThat(delays.getFirst()).isEqualTo(100);
        assertThat(delays.getLast()).isEqualTo(5_000);
        directory.updateEntries("e1", ENTRIES);
        assertThat(directory.delayMilliseconds()).isEqualTo(100);
    }

    private List<EntryAddress> nextEntries(int count) {
        List<EntryAddress> tried = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            tried.add(directory.nextEntry());
            directory.recordFailure();
        }
        return tried;
    }

    private static EntryAddress entry(String name, String dataCentre) {
        return new EntryAddress(name, dataCentre, "127.0.0.1", name.hashCode());
    }
}
