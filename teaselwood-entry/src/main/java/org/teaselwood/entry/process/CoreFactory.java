package org.teaselwood.entry.process;

import java.util.List;
import org.teaselwood.entry.core.EntryEffects;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;

/** Factory of the core of an entry process. */
@FunctionalInterface
public interface CoreFactory {
    /**
     * Creates the core.
     *
     * @param self address at which the process listens for agents and other entries
     * @param registered addresses of the entries that are registered in the key-value service; may be empty
     */
    Core create(EntryAddress self, List<EntryAddress> registered, EntryEffects effects);

    /** Core as seen by the process. Called only on its duty thread. */
    @FunctionalInterface
    interface Core {
        /** Handles one event. */
        void handle(EntryEvent event, long nowMilliseconds);
    }
}
