package org.teaselwood.entry.process;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.metrics.ProcessMetrics;
import org.teaselwood.store.KeyValueService;

/**
 * Performs the calls of the core to the key-value service. Each call ends in exactly one StoreReplied event, at the
 * latest after the timeout. Thread-safe.
 */
final class StoreCaller {
    private final KeyValueService service;
    private final Duration timeout;
    private final ProcessMetrics metrics;
    private final EventSink sink;

    StoreCaller(KeyValueService service, Duration timeout, ProcessMetrics metrics, EventSink sink) {
        this.service = service;
        this.timeout = timeout;
        this.metrics = metrics;
        this.sink = sink;
    }

    void call(long token, StoreCall call) {
        String name = call.getClass().getSimpleName();
        replyTo(call)
                .ifNoItem()
                .after(timeout)
                .fail()
                .subscribe()
                .with(
                        reply -> {
                            metrics.recordStoreCall(name, true);
                            sink.deliver(new EntryEvent.StoreReplied(token, reply));
                        },
                        failure -> {
                            metrics.recordStoreCall(name, false);
                            String detail = String.valueOf(failure.getMessage());
                            sink.deliver(new EntryEvent.StoreReplied(token, new StoreReply.Unavailable(detail)));
                        });
    }

    private Uni<StoreReply> replyTo(StoreCall call) {
        return switch (call) {
            case StoreCall.Get get -> service.get(get.key()).map(StoreReply.Value::new);
            case StoreCall.ListPrefix list -> service.list(list.prefix()).map(StoreReply.Values::new);
            case StoreCall.Transact transact ->
                service.transact(transact.transaction()).map(StoreReply.Transacted::new);
        };
    }
}
