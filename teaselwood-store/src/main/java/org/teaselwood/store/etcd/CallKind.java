package org.teaselwood.store.etcd;

/** Kinds of calls to the key-value service. The platform counts every call. */
public enum CallKind {
    RANGE("/v3/kv/range"),
    TRANSACTION("/v3/kv/txn"),
    LEASE_GRANT("/v3/lease/grant"),
    LEASE_KEEP_ALIVE("/v3/lease/keepalive"),
    WATCH("/v3/watch");

    private final String path;

    CallKind(String path) {
        this.path = path;
    }

    /** Returns the request path at the JSON gateway. */
    public String path() {
        return path;
    }
}
