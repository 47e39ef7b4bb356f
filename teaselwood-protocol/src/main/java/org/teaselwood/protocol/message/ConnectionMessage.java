package org.teaselwood.protocol.message;

import java.util.List;

/** Messages of the handshake, in which both sides prove that they know the shared key. */
public sealed interface ConnectionMessage extends Message {
    /**
     * First message of the handshake, from the accepting side.
     *
     * @param version protocol version
     * @param nonce random bytes
     */
    record Challenge(int version, byte[] nonce) implements ConnectionMessage {}

    /**
     * Reply of the connecting side to the challenge.
     *
     * @param version protocol version
     * @param nonce random bytes of the connecting side
     * @param proof HMAC-SHA-256 of the challenge's nonce under the shared key
     */
    record Proof(int version, byte[] nonce, byte[] proof) implements ConnectionMessage {}

    /**
     * Reply of the accepting side, which completes the handshake.
     *
     * @param proof HMAC-SHA-256 of the connecting side's nonce under the shared key
     */
    record Accepted(byte[] proof) implements ConnectionMessage {}

    /**
     * Last message before the sender closes the connection.
     *
     * @param kind code of the error kind
     * @param arguments message arguments for logs
     */
    record Closing(String kind, List<String> arguments) implements ConnectionMessage {}
}
