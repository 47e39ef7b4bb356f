package org.teaselwood.protocol;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/** Secret key shared by all processes of a deployment, proven with HMAC-SHA-256. Immutable and thread-safe. */
public final class SharedKey {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    /** Creates a key from non-empty text. */
    public SharedKey(String text) {
        this.key = new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Returns the key of a deployment without a secret, whose settings allow only loopback addresses. */
    public static SharedKey withoutSecret() {
        return new SharedKey("loopback-only");
    }

    /** Returns new random bytes for a challenge. */
    public static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /** Computes a proof that covers the role of its sender, so that a proof cannot be reflected to its sender. */
    byte[] computeProof(byte[] nonce, boolean byAcceptingSide) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update((byte) (byAcceptingSide ? 1 : 0));
            return mac.doFinal(nonce);
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Verifies a proof in constant time.
     *
     * @throws TeaselwoodException of kind BAD_PEER if the proof does not match
     */
    void verifyProof(byte[] nonce, byte[] proof, boolean byAcceptingSide) {
        if (!MessageDigest.isEqual(computeProof(nonce, byAcceptingSide), proof)) {
            throw TeaselwoodException.of(ErrorKind.BAD_PEER, "it does not know the shared key");
        }
    }
}
