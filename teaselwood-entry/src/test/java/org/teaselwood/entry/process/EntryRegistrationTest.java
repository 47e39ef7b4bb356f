package org.teaselwood.entry.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.store.KeyValue;

/** Guards against one odd item among the registered entries, which would end the connections to all others. */
final class EntryRegistrationTest {
    @Test
    void an_address_that_cannot_be_used_is_ignored() {
        for (String value : List.of(
                "not JSON",
                "null",
                "{\"a\":".repeat(100_000),
                "{\"entry\":\"e\",\"dataCentre\":\"d\",\"host\":\"h\",\"port\":70000}",
                "{\"entry\":\"e\",\"dataCentre\":\"d\",\"host\":\"h\",\"port\":-1}",
                "{\"entry\":\"e\",\"dataCentre\":\"d\",\"host\":\"h\",\"port\":4294967376}",
                "{\"entry\":\"e\",\"dataCentre\":\"d\",\"host\":null,\"port\":80}")) {
            assertWithMessage(value.substring(0, Math.min(100, value.length())))
                    .that(decode(value))
                    .isEmpty();
        }
        assertThat(decode("{\"entry\":\"e\",\"dataCentre\":\"d\",\"host\":\"h\",\"port\":80}"))
                .containsExactly(new EntryAddress("e", "d", "h", 80));
    }

    private static List<EntryAddress> decode(String value) {
        return EntryRegistration.decode(new KeyValue("key", value.getBytes(UTF_8), 1))
                .toList();
    }
}
