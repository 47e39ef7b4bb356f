package org.teaselwood.entry.http;

import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import java.util.Optional;

/**
 * Settings of the HTTP front. Immutable.
 *
 * @param host IP number to listen on
 * @param port TCP port, 0 for any free one
 * @param bodyLimitBytes largest body of a request
 * @param requestTimeoutMilliseconds longest time for the core to reply to a request that does not wait
 * @param tls certificate and key files; plain HTTP without
 * @param tokens tokens of teams and operators
 */
public record HttpSettings(
        String host,
        int port,
        int bodyLimitBytes,
        long requestTimeoutMilliseconds,
        Optional<ServerCertificate> tls,
        Tokens tokens) {
    /** Default of {@link #bodyLimitBytes}: a configuration change of a thousand objects fits. */
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
        /** The files as options of the library. */
        public PemKeyCertOptions options() {
            return new PemKeyCertOptions().setCertPath(certificateFile).setKeyPath(keyFile);
        }
    }

    /** HTTP/1.1 only: {@code Connection: close} tells callers to leave, and HTTP/2 has no such header. */
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
