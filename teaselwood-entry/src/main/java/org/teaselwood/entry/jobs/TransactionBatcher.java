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
 * Applies writes in batches of up to {@value #MAXIMUM_OPERATIONS} operations, with at least {@value
 * #TRANSACTION_INTERVAL_MILLISECONDS} ms between two calls. A batch that is refused is split into single writes. A
 * write with an ambiguous result is read back: its value is unique, so that the write took effect if and only if the
 * key holds that value. While the service is unreachable, one call at a time is retried. Confined to the core's thread.
 */
public final class TransactionBatcher {
    private static final int MAXIMUM_OPERATIONS = 32;
    private static final int MAXIMUM_BYTES = 600 * 1024;
    private static final int MAXIMUM_OPEN_CALLS = 4;
    private static final long TRANSACTION_INTERVAL_MILLISECONDS = 10;
    private static final long RETRY_MILLISECONDS = 500;

    private final EntryContext context;
    private final Deque<Write> queue = new ArrayDeque<>();
    private int openCalls;
    /** Counter that is incremented when all writes are dropped, so that replies to earlier calls are ignored. */
    private long generation;

    private long calledAt = Long.MIN_VALUE;
    private long retryAt = Long.MIN_VALUE;

    /** Creates a batcher without writes. */
    public TransactionBatcher(EntryContext context) {
        this.context = context;
    }

    /**
     * Listener for the outcome of a write. Exactly one of {@link #written} and {@link #conflicted} is called, after any
     * number of calls of {@link #unanswered}.
     */
    public interface Listener {
        /** Reports that the write took effect at a revision. */
        void written(long revision);

        /** Reports that the write did not take effect and never will, with the current value of its key. */
        void conflicted(Optional<KeyValue> current);

        /** Reports that the service did not answer. The write is read back and repeated until its outcome is known. */
        void unanswered();
    }

    /**
     * Operations that are applied together if all conditions hold.
     *
     * @param key key that is read back after an ambiguous result
     * @param value unique value of the key, empty if the key is deleted
     * @param conditions conditions that must all hold; the condition of the key comes first, if there is one
     */
    public static final class Write {
        private final String key;
        private final byte[] value;
        private final List<KeyValueCondition> conditions;
        private final List<KeyValueOperation> operations;
        private final Listener listener;
        private boolean sendAlone;
        private boolean mustReadBack;
        private boolean refused;

        /** Creates a write that has not been sent yet. */
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

    /** Drops all writes. Those already sent may still take effect. */
    public void clear() {
        queue.clear();
        openCalls = 0;
        generation++;
    }

    /** Returns whether no write is queued or open. */
    public boolean idle() {
        return queue.isEmpty() && openCalls == 0;
    }

    /** Sends the next call if one is due. */
    public void sendDue() {
        boolean reachable = context.store().reachable();
        if (queue.isEmpty() || openCalls >= (reachable ? MAXIMUM_OPEN_CALLS : 1)) {
            return;
        }
        if (context.now() - TRANSACTION_INTERVAL_MILLISECONDS < calledAt || !reachable && context.now() < retryAt) {
            return;
        }
        calledAt = context.now();
        if (queue.peek().mustReadBack) {
            read(queue.poll());
        } else {
            transact(nextBatch());
        }
    }

    private List<Write> nextBatch() {
        List<Write> batch = new ArrayList<>();
        batch.add(queue.poll());
        if (batch.getFirst().sendAlone) {
            return batch;
        }
        int operations = batch.getFirst().operations.size();
        int bytes = batch.getFirst().bytes();
        while (!queue.isEmpty()) {
            Write next = queue.peek();
            operations += next.operations.size();
            bytes += next.bytes();
            if (next.sendAlone || next.mustReadBack || operations > MAXIMUM_OPERATIONS || bytes > MAXIMUM_BYTES) {
                break;
            }
            batch.add(queue.poll());
        }
        return batch;
    }

    private void call(StoreCall call, Consumer<StoreReply> consumer) {
        openCalls++;
        long callGeneration = generation;
        context.store().call(call, reply -> {
            if (callGeneration == generation) {
                openCalls--;
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
                batch.forEach(write -> write.sendAlone = true);
                batch.reversed().forEach(queue::addFirst);
            }
            case StoreReply.Transacted ignored -> queueReadBack(batch.getFirst(), true);
            case StoreReply.Unavailable ignored -> unavailable(batch);
            case StoreReply.Value ignored -> unavailable(batch);
            case StoreReply.Values ignored -> unavailable(batch);
        }
    }

    private void unavailable(List<Write> batch) {
        retryAt = context.now() + RETRY_MILLISECONDS;
        batch.reversed().forEach(write -> queueReadBack(write, false));
        batch.forEach(write -> write.listener.unanswered());
    }

    private void queueReadBack(Write write, boolean refused) {
        write.mustReadBack = true;
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
        boolean tookEffect =
                current.map(value -> Arrays.equals(value.value(), write.value)).orElse(write.value.length == 0);
        if (tookEffect) {
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
        write.mustReadBack = false;
        write.sendAlone = true;
        queue.addFirst(write);
    }
}
