package org.teaselwood.entry.process;

import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemTrustOptions;
import java.util.Optional;
import org.teaselwood.entry.http.HttpSettings.ServerCertificate;
import org.teaselwood.protocol.SharedKey;

/**
 * Settings of the connections between our own processes. Immutable.
 *
 * @param host IP number to listen on and to announce
 * @param port TCP port, 0 for any free one
 * @param sharedKey key that all processes of the deployment share
 * @param tls certificates; plain TCP without
 */
public record InternalSettings(String host, int port, SharedKey sharedKey, Optional<InternalTls> tls) {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;

    /**
     * TLS between our own processes. The accepting side shows its certificate; the connecting side proves itself by the
     * shared key.
     *
     * @param certificate own certificate
     * @param authorityFile PEM file of the authority that signed the certificates of all entries
     */
    public record InternalTls(ServerCertificate certificate, String authorityFile) {}

    NetServerOptions serverOptions() {
        NetServerOptions options =
                new NetServerOptions().setHost(host).setPort(port).setTcpNoDelay(true);
        tls.ifPresent(files ->
                options.setSsl(true).setKeyCertOptions(files.certificate().options()));
        return options;
    }

    /** Peers are known by IP number, so the authority and the shared key are verified, and no host name. */
    NetClientOptions clientOptions() {
        NetClientOptions options = new NetClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
                .setTcpNoDelay(true);
        tls.ifPresent(files -> options.setSsl(true)
                .setHostnameVerificationAlgorithm("")
                .setTrustOptions(new PemTrustOptions().addCertPath(files.authorityFile())));
        return options;
    }
}
