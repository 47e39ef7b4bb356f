package org.teaselwood.entry.core;

import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.Message;

/** What the entry core does to the world outside. Called on the core's thread only; no call blocks or re-enters. */
public interface EntryEffects {
    /** Sends a message; it is lost when the connection is not open. */
    void send(long link, Message message);

    /** Closes a connection. */
    void closeLink(long link);

    /** Opens a connection to another entry; ends in LinkConnected or ConnectFailed. */
    void connect(EntryAddress address);

    /** Calls the key-value service; ends in StoreReplied with the same token. */
    void callStore(long token, StoreCall call);

    /** Replies to a front. */
    void reply(long token, FrontReply reply);

    /** Whether the entry can serve requests, for {@code /readyz}. */
    void readinessChanged(boolean ready, String reason);

    /** After ShutdownRequested: every request has been answered and the process may exit. */
    void drained();

    /** A measured time of a class, for histograms per team: waiting, completion, reclaim. */
    void observed(String metric, String team, long milliseconds);

    /** A structured log line. */
    void logged(String message, String job, String team);
}
