package org.teaselwood.entry.process;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueService;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.TransactionResult;

/** Key-value service that is unavailable: lists never complete; reads, transactions and leases fail at once. */
final class UnavailableStore implements KeyValueService {
    @Override
    public Uni<Optional<KeyValue>> get(String key) {
        return down();
    }

    @Override
    public Uni<List<KeyValue>> list(String prefix) {
        return Uni.createFrom().nothing();
    }

    @Override
    public Uni<TransactionResult> transact(KeyValueTransaction transaction) {
        return down();
    }

    @Override
    public Uni<Long> grantLease(long seconds) {
        return down();
    }

    @Override
    public Uni<Void> renewLease(long lease) {
        return down();
    }

    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        return () -> {};
    }

    @Override
    public void close() {}

    private static <T> Uni<T> down() {
        return Uni.createFrom().failure(TeaselwoodException.of(ErrorKind.STORE_UNAVAILABLE, "down"));
    }
}
