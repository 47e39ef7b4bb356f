package org.teaselwood.entry.core;

import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.Message;

/** Side effects of the entry core. Called on the core's thread only; no call blocks or re-enters the core. */
public interface EntryEffects {
    /** Sends a message; it is dropped if the connection is not open. */
    void send(long link, Message message);

    /** Closes a connection. */
    void closeConnection(long link);

    /** Opens a connection to another entry. The result is reported by ConnectionOpened or ConnectFailed. */
    void connect(EntryAddress address);

    /** Calls the key-value service. The result is reported by StoreReplied with the same token. */
    void callStore(long token, StoreCall call);

    /** Replies to a request of a front end. */
    void reply(long token, FrontReply reply);

    /** Reports whether the entry can serve requests, for {@code /readyz}. */
    void readinessChanged(boolean ready, String reason);

    /** Reports, after ShutdownRequested, that every request has been answered and the process may exit. */
    void drained();

    /** Records a duration in the histogram of a metric and team, such as the waiting, completion or reclaim time. */
    void recordDuration(String metric, String team, long milliseconds);

    /** Writes a structured log line. */
    void log(String message, String job, String team);
}
