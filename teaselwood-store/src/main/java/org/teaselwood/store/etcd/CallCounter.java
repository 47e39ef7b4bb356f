package org.teaselwood.store.etcd;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of calls to the key-value service by kind. Thread-safe. */
public final class CallCounter {
    private final Map<CallKind, LongAdder> calls = new EnumMap<>(CallKind.class);

    /** Creates a counter with all counts at 0. */
    public CallCounter() {
        for (CallKind kind : CallKind.values()) {
            calls.put(kind, new LongAdder());
        }
    }

    /** Counts one call. */
    public void add(CallKind kind) {
        calls.get(kind).increment();
    }

    /** Returns the number of calls so far by kind. */
    public Map<CallKind, Long> counts() {
        Map<CallKind, Long> counts = new EnumMap<>(CallKind.class);
        calls.forEach((kind, adder) -> counts.put(kind, adder.sum()));
        return Collections.unmodifiableMap(counts);
    }
}
