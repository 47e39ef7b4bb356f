package org.teaselwood.store.etcd;

import io.vertx.core.net.SocketAddress;
import java.util.List;

/**
 * Connection options of the key-value service. Immutable.
 *
 * @param endpoints addresses of the members of the service, tried in this order after failures; at least one
 * @param timeoutMilliseconds maximum time to wait for the response of one endpoint
 */
public record EtcdOptions(List<SocketAddress> endpoints, long timeoutMilliseconds) {
    /** Copies the list. */
    public EtcdOptions {
        endpoints = List.copyOf(endpoints);
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("at least one endpoint is required");
        }
    }
}
