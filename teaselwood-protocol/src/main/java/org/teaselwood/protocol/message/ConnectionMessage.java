package org.teaselwood.protocol.message;

import java.util.List;

/** Messages that open a connection and prove that both sides know the shared key. */
public sealed interface ConnectionMessage extends Message {
    /**
     * First message, from the accepting side.
     *
     * @param version protocol version
     * @param nonce random bytes
     */
    record Challenge(int version, byte[] nonce) implements ConnectionMessage {}

    /**
     * Answer of the connecting side.
     *
     * @param version protocol version
     * @param nonce random bytes of the connecting side
     * @param proof HMAC-SHA-256 of the challenge's nonce under the shared key
     */
    record Proof(int version, byte[] nonce, byte[] proof) implements ConnectionMessage {}

    /**
     * Answer of the accepting side; messages may flow afterwards.
     *
     * @param proof HMAC-SHA-256 of the connecting side's nonce under the shared key
     */
    record Accepted(byte[] proof) implements ConnectionMessage {}

    /**
     * Last message before the sender closes the connection.
     *
     * @param kind code of the error kind
     * @param arguments texts for logs
     */
    record Closing(String kind, List<String> arguments) implements ConnectionMessage {}
}
