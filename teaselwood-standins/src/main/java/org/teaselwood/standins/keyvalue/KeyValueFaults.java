package org.teaselwood.standins.keyvalue;

/**
 * Active faults of a key-value stand-in. Immutable.
 *
 * @param down calls are neither executed nor answered, and open watches are disconnected
 * @param errorResponses every call returns an error and is not executed
 * @param responseLost every call is executed, but its response is lost
 * @param delayMilliseconds time before a call is executed
 */
public record KeyValueFaults(boolean down, boolean errorResponses, boolean responseLost, long delayMilliseconds) {
    /** No fault. */
    public static final KeyValueFaults NONE = new KeyValueFaults(false, false, false, 0);

    /** The service is unreachable. */
    public static final KeyValueFaults DOWN = new KeyValueFaults(true, false, false, 0);

    /** The service returns an error for every call. */
    public static final KeyValueFaults ERROR_ANSWERS = new KeyValueFaults(false, true, false, 0);

    /** Calls are executed and their responses are lost. */
    public static final KeyValueFaults REPLY_LOST = new KeyValueFaults(false, false, true, 0);

    /** Returns faults that delay the execution of every call. */
    public static KeyValueFaults delayed(long delayMilliseconds) {
        return new KeyValueFaults(false, false, false, delayMilliseconds);
    }
}
