package org.teaselwood.protocol;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/** The key that all processes of a deployment share; proves it by HMAC-SHA-256. Immutable and thread-safe. */
public final class SharedKey {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    /** A key of non-empty text. */
    public SharedKey(String text) {
        this.key = new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** The key of a deployment without a secret, whose settings allow only loopback addresses. */
    public static SharedKey withoutSecret() {
        return new SharedKey("loopback-only");
    }

    /** Fresh random bytes for a challenge. */
    public static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /** The proof covers the role of its maker, so that a proof cannot be sent back to its maker as the answer. */
    byte[] proofOf(byte[] nonce, boolean byAcceptingSide) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update((byte) (byAcceptingSide ? 1 : 0));
            return mac.doFinal(nonce);
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Compares in constant time and throws BAD_PEER on a mismatch. */
    void verify(byte[] nonce, byte[] proof, boolean byAcceptingSide) {
        if (!MessageDigest.isEqual(proofOf(nonce, byAcceptingSide), proof)) {
            throw TeaselwoodException.of(ErrorKind.BAD_PEER, "it does not know the shared key");
        }
    }
}
