package org.teaselwood.store.etcd;

/** Kinds of calls to the key-value service; the platform counts each call. */
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

    /** Path of the call at the JSON gateway. */
    public String path() {
        return path;
    }
}
