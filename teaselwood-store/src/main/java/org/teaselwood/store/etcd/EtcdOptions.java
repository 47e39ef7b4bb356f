package org.teaselwood.store.etcd;

import io.vertx.core.net.SocketAddress;
import java.util.List;

/**
 * How the key-value service is reached. Immutable.
 *
 * @param endpoints addresses of its members, tried in this order after failures; at least one
 * @param timeoutMilliseconds longest wait for the answer of one endpoint
 */
public record EtcdOptions(List<SocketAddress> endpoints, long timeoutMilliseconds) {
    /** Copies the list. */
    public EtcdOptions {
        endpoints = List.copyOf(endpoints);
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("at least one endpoint is needed");
        }
    }
}
