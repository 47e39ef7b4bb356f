package org.teaselwood.standins.keyvalue;

/**
 * The faults that are switched on at a stand-in. Immutable.
 *
 * @param down no call is carried out or answered, and open watches break
 * @param errorAnswers every call is answered with an error and not carried out
 * @param replyLost every call is carried out, but its reply is lost
 * @param delayMilliseconds time before a call is carried out
 */
public record KeyValueFaults(boolean down, boolean errorAnswers, boolean replyLost, long delayMilliseconds) {
    /** No fault. */
    public static final KeyValueFaults NONE = new KeyValueFaults(false, false, false, 0);

    /** The service cannot be reached. */
    public static final KeyValueFaults DOWN = new KeyValueFaults(true, false, false, 0);

    /** The service answers every call with an error. */
    public static final KeyValueFaults ERROR_ANSWERS = new KeyValueFaults(false, true, false, 0);

    /** Writes take effect and their replies are lost. */
    public static final KeyValueFaults REPLY_LOST = new KeyValueFaults(false, false, true, 0);

    /** The service carries out calls after a delay. */
    public static KeyValueFaults slow(long delayMilliseconds) {
        return new KeyValueFaults(false, false, false, delayMilliseconds);
    }
}
