package org.teaselwood.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.Principal;

/**
 * Access tokens of teams and operators. Immutable and thread-safe.
 *
 * <p>The SHA-256 digest of a received token is compared with the digest of every configured token in constant time, so
 * that the response time reveals neither a prefix of a token nor the team that it belongs to.
 */
public final class Tokens {
    private static final String BEARER = "Bearer ";
    private static final String BASIC = "Basic ";

    private final List<Credential> credentials = new ArrayList<>();

    private record Credential(byte[] digest, Principal principal) {}

    /**
     * Creates the set of configured tokens. If there is none, every caller is an operator; the settings allow that on
     * loopback only.
     *
     * @param teamTokens token of each team, by team name
     * @param operatorToken token of the operators
     */
    public Tokens(Map<String, String> teamTokens, Optional<String> operatorToken) {
        teamTokens.forEach(
                (team, token) -> credentials.add(new Credential(digestOf(token), new Principal(team, false))));
        operatorToken.ifPresent(token -> credentials.add(new Credential(digestOf(token), Principal.OPERATOR)));
    }

    /** Returns whether any token is configured. */
    public boolean required() {
        return !credentials.isEmpty();
    }

    /**
     * Returns the principal of the token in an Authorization header. The Basic scheme takes the token as the password,
     * so that browsers can open the status page.
     *
     * @param header value of the header, null if the header is missing
     * @throws TeaselwoodException of kind UNAUTHENTICATED if there is no valid token
     */
    public Principal principalOf(String header) {
        if (!required()) {
            return Principal.OPERATOR;
        }
        byte[] digest = digestOf(tokenOf(header));
        Principal found = null;
        for (Credential credential : credentials) {
            if (MessageDigest.isEqual(credential.digest, digest)) {
                found = credential.principal;
            }
        }
        if (found == null) {
            throw TeaselwoodException.of(ErrorKind.UNAUTHENTICATED);
        }
        return found;
    }

    private static String tokenOf(String header) {
        if (header != null && header.startsWith(BEARER)) {
            return header.substring(BEARER.length()).trim();
        }
        if (header != null && header.startsWith(BASIC)) {
            return passwordOf(header.substring(BASIC.length()).trim());
        }
        throw TeaselwoodException.of(ErrorKind.UNAUTHENTICATED);
    }

    private static String passwordOf(String encoded) {
        try {
            String pair = new String(Base64.getDecoder().decode(encoded), StandardCharsets.UTF_8);
            return pair.substring(pair.indexOf(':') + 1);
        } catch (IllegalArgumentException exception) {
            throw TeaselwoodException.causedBy(exception, ErrorKind.UNAUTHENTICATED);
        }
    }

    private static byte[] digestOf(String token) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
