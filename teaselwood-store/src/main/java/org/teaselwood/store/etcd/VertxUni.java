package org.teaselwood.store.etcd;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import java.util.function.Supplier;

/** Adapter from Vert.x futures to Mutiny Unis through completion stages. Thread-safe. */
public final class VertxUni {
    private VertxUni() {}

    /** Returns a Uni that starts the operation on every subscription. */
    public static <T> Uni<T> from(Supplier<Future<T>> operation) {
        return Uni.createFrom().completionStage(() -> operation.get().toCompletionStage());
    }
}
