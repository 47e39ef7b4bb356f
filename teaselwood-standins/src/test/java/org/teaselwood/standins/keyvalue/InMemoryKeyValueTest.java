package org.teaselwood.standins.keyvalue;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueTransaction;

/** Tests of the in-memory key-value service in virtual time. */
class InMemoryKeyValueTest {
    private static final byte[] VALUE = "v".getBytes(StandardCharsets.UTF_8);

    private final InMemoryKeyValue service = new InMemoryKeyValue();

    /** Guards against a lease that expires although it was renewed, or that never expires. */
    @Test
    void a_lease_expires_its_time_to_live_after_the_last_renewal() {
        long lease = service.grantLease(10, 0);
        service.transact(write("/e/1", 0, lease), 0);
        service.renewLease(lease, 9_999);
        assertThat(service.get("/e/1", 19_998)).isPresent();
        assertThat(service.get("/e/1", 19_999)).isEmpty();
        assertThrows(TeaselwoodException.class, () -> service.renewLease(lease, 20_000));
    }

    /** Guards against a watch that misses deletions by an expired lease or reports keys outside its prefix. */
    @Test
    void a_watch_reports_writes_and_expired_leases() {
        List<String> events = new ArrayList<>();
        Runnable unregister = service.watch(
                "/e/",
                (changes, revision) -> changes.forEach(
                        change -> events.add(change.key() + ":" + change.value().length + "@" + revision)));
        long lease = service.grantLease(1, 0);
        service.transact(write("/e/1", 0, lease), 0);
        service.transact(write("/f", 0, 0), 0);
        service.advanceTo(1_000);
        unregister.run();
        service.transact(write("/e/2", 0, 0), 1_000);
        assertThat(events).containsExactly("/e/1:1@2", "/e/1:0@4").inOrder();
    }

    /**
     * Guards against a simulated lost response whose write did not take effect. Tests that use this fault would then no
     * longer cover writes with an ambiguous result.
     */
    @Test
    void a_write_with_a_lost_response_takes_effect_and_one_to_an_unreachable_service_does_not() {
        service.setFaults(KeyValueFaults.DOWN);
        assertUnavailable(write("/a", 0, 0));
        service.setFaults(KeyValueFaults.REPLY_LOST);
        assertUnavailable(write("/b", 0, 0));
        service.setFaults(KeyValueFaults.NONE);
        assertThat(service.get("/a", 0)).isEmpty();
        assertThat(service.get("/b", 0)).isPresent();
        assertThat(service.transact(write("/b", 0, 0), 0).applied()).isFalse();
    }

    private void assertUnavailable(KeyValueTransaction transaction) {
        TeaselwoodException exception = assertThrows(TeaselwoodException.class, () -> service.transact(transaction, 0));
        assertThat(exception.kind()).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
    }

    private static KeyValueTransaction write(String key, long expectedRevision, long lease) {
        return new KeyValueTransaction(
                List.of(new KeyValueCondition(key, expectedRevision)),
                List.of(new KeyValueOperation.Put(key, VALUE, lease)));
    }
}
