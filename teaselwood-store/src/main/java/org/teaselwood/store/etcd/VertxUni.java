package org.teaselwood.store.etcd;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import java.util.function.Supplier;

/** Bridges a Vert.x future to a Mutiny Uni through its completion stage. Thread-safe. */
public final class VertxUni {
    private VertxUni() {}

    /** A Uni that starts the operation on every subscription. */
    public static <T> Uni<T> from(Supplier<Future<T>> operation) {
        return Uni.createFrom().completionStage(() -> operation.get().toCompletionStage());
    }
}
