package org.teaselwood.entry.configuration;

import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.model.Configuration;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.FrontReply;

/** What the configuration core does to the world outside. No call blocks or re-enters the core. */
public interface ConfigurationEffects {
    /**
     * Calls the key-value service.
     *
     * @return token with which the reply is handed to {@link ConfigurationCore#storeReplied}
     */
    long callStore(StoreCall call);

    /** Sends a message to a peer; it is lost when there is no connection. */
    void sendToPeer(String peer, EntryMessage message);

    /** Replies to a front's change. */
    void reply(long frontToken, FrontReply reply);

    /** A configuration of a higher revision is in force from now on. */
    void applied(Configuration configuration);

    /** A structured log line. */
    void logged(String message);
}
