package org.teaselwood.entry.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueTransaction;

/**
 * Carries out writes in batches of up to {@value #MAXIMUM_OPERATIONS} operations, at most one transaction every
 * {@value #SPACING_MILLISECONDS} ms. A batch that is refused is split into single writes. A write whose fate is not
 * known is read back: its value is unique, so it took effect exactly if the key holds that value. While the service
 * does not answer, one call at a time is repeated.
 */
public final class TransactionBatcher {
    private static final int MAXIMUM_OPERATIONS = 32;
    private static final int MAXIMUM_BYTES = 600 * 1024;
    private static final int MAXIMUM_OPEN = 4;
    private static final long SPACING_MILLISECONDS = 10;
    private static final long RETRY_MILLISECONDS = 500;

    private final EntryContext context;
    private final Deque<Write> queue = new ArrayDeque<>();
    private int open;
    /** Rises when everything is dropped, so that later replies are ignored. */
    private long epoch;

    private long calledAt = Long.MIN_VALUE;
    private long retryAt = Long.MIN_VALUE;

    /** A batcher without writes. */
    public TransactionBatcher(EntryContext context) {
        this.context = context;
    }

    /** What becomes of a write. Exactly one of the first two is called, after any number of calls of the last. */
    public interface Listener {
        /** The write took effect at a revision. */
        void written(long revision);

        /** The write did not take effect and never will; the value now at its key. */
        void conflicted(Optional<KeyValue> current);

        /** The service did not answer; the write is read back and repeated until its fate is known. */
        void delayed();
    }

    /**
     * One write.
     *
     * @param key key that is read back
     * @param value unique value of the key, empty when the key is deleted
     * @param conditions all must hold; the one of the key comes first, unless there is none
     */
    public static final class Write {
        private final String key;
        private final byte[] value;
        private final List<KeyValueCondition> conditions;
        private final List<KeyValueOperation> operations;
        private final Listener listener;
        private boolean single;
        private boolean readBack;
        private boolean refused;

        /** A write that was not sent yet. */
        public Write(
                String key,
                byte[] value,
                List<KeyValueCondition> conditions,
                List<KeyValueOperation> operations,
                Listener listener) {
            this.key = key;
            this.value = value;
            this.conditions = conditions;
            this.operations = operations;
            this.listener = listener;
        }

        private int bytes() {
            return operations.stream()
                    .mapToInt(operation -> operation instanceof KeyValueOperation.Put put ? put.value().length : 0)
                    .sum();
        }
    }

    /** Adds a write. */
    public void add(Write write) {
        queue.add(write);
    }

    /** Drops all writes; those that were sent may still take effect. */
    public void clear() {
        queue.clear();
        open = 0;
        epoch++;
    }

    /** Whether nothing is waiting or open. */
    public boolean idle() {
        return queue.isEmpty() && open == 0;
    }

    /** Sends what is due. */
    public void pump() {
        boolean reachable = context.store().reachable();
        if (queue.isEmpty() || open >= (reachable ? MAXIMUM_OPEN : 1)) {
            return;
        }
        if (context.now() - SPACING_MILLISECONDS < calledAt || !reachable && context.now() < retryAt) {
            return;
        }
        calledAt = context.now();
        if (queue.peek().readBack) {
            read(queue.poll());
        } else {
            transact(nextBatch());
        }
    }

    private List<Write> nextBatch() {
        List<Write> batch = new ArrayList<>();
        batch.add(queue.poll());
        if (batch.getFirst().single) {
            return batch;
        }
        int operations = batch.getFirst().operations.size();
        int bytes = batch.getFirst().bytes();
        while (!queue.isEmpty()) {
            Write next = queue.peek();
            operations += next.operations.size();
            bytes += next.bytes();
            if (next.single || next.readBack || operations > MAXIMUM_OPERATIONS || bytes > MAXIMUM_BYTES) {
                break;
            }
            batch.add(queue.poll());
        }
        return batch;
    }

    private void call(StoreCall call, Consumer<StoreReply> consumer) {
        open++;
        long called = epoch;
        context.store().call(call, reply -> {
            if (called == epoch) {
                open--;
                consumer.accept(reply);
            }
        });
    }

    private void transact(List<Write> batch) {
        List<KeyValueCondition> conditions =
                batch.stream().flatMap(write -> write.conditions.stream()).toList();
        List<KeyValueOperation> operations =
                batch.stream().flatMap(write -> write.operations.stream()).toList();
        StoreCall call = new StoreCall.Transact(new KeyValueTransaction(conditions, operations));
        call(call, reply -> transacted(batch, reply));
    }

    private void transacted(List<Write> batch, StoreReply reply) {
        switch (reply) {
            case StoreReply.Transacted done
            when done.result().applied() ->
                batch.forEach(write -> write.listener.written(done.result().revision()));
            case StoreReply.Transacted ignored
            when batch.size() > 1 -> {
                batch.forEach(write -> write.single = true);
                batch.reversed().forEach(queue::addFirst);
            }
            case StoreReply.Transacted ignored -> readBack(batch.getFirst(), true);
            case StoreReply.Unavailable ignored -> unavailable(batch);
            case StoreReply.Value ignored -> unavailable(batch);
            case StoreReply.Values ignored -> unavailable(batch);
        }
    }

    private void unavailable(List<Write> batch) {
        retryAt = context.now() + RETRY_MILLISECONDS;
        batch.reversed().forEach(write -> readBack(write, false));
        batch.forEach(write -> write.listener.delayed());
    }

    private void readBack(Write write, boolean refused) {
        write.readBack = true;
        write.refused = refused;
        queue.addFirst(write);
    }

    private void read(Write write) {
        call(new StoreCall.Get(write.key), reply -> {
            if (reply instanceof StoreReply.Value value) {
                compare(write, value.value());
            } else {
                retryAt = context.now() + RETRY_MILLISECONDS;
                queue.addFirst(write);
            }
        });
    }

    private void compare(Write write, Optional<KeyValue> current) {
        boolean took =
                current.map(value -> Arrays.equals(value.value(), write.value)).orElse(write.value.length == 0);
        if (took) {
            write.listener.written(current.map(KeyValue::revision).orElse(0L));
            return;
        }
        long revision = current.map(KeyValue::revision).orElse(0L);
        boolean unchanged =
                write.conditions.isEmpty() || write.conditions.getFirst().revision() == revision;
        if (!unchanged || write.refused) {
            write.listener.conflicted(current);
            return;
        }
        write.readBack = false;
        write.single = true;
        queue.addFirst(write);
    }
}
