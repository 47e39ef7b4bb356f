package org.teaselwood.entry.http;

import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import java.util.Optional;

/**
 * Settings of the HTTP server of an entry. Immutable.
 *
 * @param host IP address to listen on
 * @param port TCP port, 0 for an ephemeral port
 * @param bodyLimitBytes maximum size of a request body
 * @param requestTimeoutMilliseconds maximum time for the core to reply to a request that is not a long poll
 * @param tls certificate and key files; plain HTTP if empty
 * @param tokens tokens of teams and operators
 */
public record HttpSettings(
        String host,
        int port,
        int bodyLimitBytes,
        long requestTimeoutMilliseconds,
        Optional<ServerCertificate> tls,
        Tokens tokens) {
    /** Default of {@link #bodyLimitBytes}: large enough for a configuration change of 1000 objects. */
    public static final int DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024;

    /** Default of {@link #requestTimeoutMilliseconds}: covers a takeover and two timeouts of the key-value service. */
    public static final long DEFAULT_REQUEST_TIMEOUT_MILLISECONDS = 15_000;

    private static final int IDLE_TIMEOUT_SECONDS = 120;

    /**
     * Files of a server certificate.
     *
     * @param certificateFile PEM file of the certificate chain
     * @param keyFile PEM file of the private key
     */
    public record ServerCertificate(String certificateFile, String keyFile) {
        /** Returns the Vert.x options for the files. */
        public PemKeyCertOptions options() {
            return new PemKeyCertOptions().setCertPath(certificateFile).setKeyPath(keyFile);
        }
    }

    /**
     * Returns the server options. Only HTTP/1.1 is enabled, because a shutdown uses {@code Connection: close} to move
     * callers to other entries, and HTTP/2 has no such header.
     */
    HttpServerOptions options() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(host)
                .setPort(port)
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                .setHttp2ClearTextEnabled(false)
                .setUseAlpn(false)
                .setCompressionSupported(false);
        tls.ifPresent(certificate -> options.setSsl(true).setKeyCertOptions(certificate.options()));
        return options;
    }
}
