package org.teaselwood.entry.configuration;

import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.model.Configuration;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.FrontReply;

/** Side effects of the configuration core. No call blocks or re-enters the core. */
public interface ConfigurationEffects {
    /**
     * Calls the key-value service.
     *
     * @return token with which the reply is passed to {@link ConfigurationCore#storeReplied}
     */
    long callStore(StoreCall call);

    /** Sends a message to a peer; it is dropped if there is no connection. */
    void sendToPeer(String peer, EntryMessage message);

    /** Replies to a change requested by a front end. */
    void reply(long frontToken, FrontReply reply);

    /** Reports that a configuration of a higher revision came into force. */
    void applied(Configuration configuration);

    /** Writes a structured log line. */
    void log(String message);
}
