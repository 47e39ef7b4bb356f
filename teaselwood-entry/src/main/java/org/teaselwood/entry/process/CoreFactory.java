package org.teaselwood.entry.process;

import java.util.List;
import org.teaselwood.entry.core.EntryEffects;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;

/** Makes the core of an entry process. */
@FunctionalInterface
public interface CoreFactory {
    /**
     * Makes the core.
     *
     * @param self address at which the process listens for other processes
     * @param registered addresses of entries found in the key-value service; may be empty
     */
    Core create(EntryAddress self, List<EntryAddress> registered, EntryEffects effects);

    /** The core as the process sees it. Called on its duty thread only. */
    @FunctionalInterface
    interface Core {
        /** Handles one event. */
        void handle(EntryEvent event, long nowMilliseconds);
    }
}
