package org.teaselwood.entry.process;

import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemTrustOptions;
import java.util.Optional;
import org.teaselwood.entry.http.HttpSettings.ServerCertificate;
import org.teaselwood.protocol.SharedKey;

/**
 * Settings of the connections between processes of the deployment. Immutable.
 *
 * @param host IP address to listen on and to announce to other processes
 * @param port TCP port, 0 for an ephemeral port
 * @param sharedKey key that all processes of the deployment share
 * @param tls certificates; plain TCP if empty
 */
public record InternalSettings(String host, int port, SharedKey sharedKey, Optional<InternalTls> tls) {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;

    /**
     * Settings of TLS between processes of the deployment. The accepting side presents its certificate; the connecting
     * side authenticates with the shared key.
     *
     * @param certificate certificate of this process
     * @param authorityFile PEM file of the certificate authority that signed the certificates of all entries
     */
    public record InternalTls(ServerCertificate certificate, String authorityFile) {}

    NetServerOptions serverOptions() {
        NetServerOptions options =
                new NetServerOptions().setHost(host).setPort(port).setTcpNoDelay(true);
        tls.ifPresent(files ->
                options.setSsl(true).setKeyCertOptions(files.certificate().options()));
        return options;
    }

    /**
     * Returns the client options. Peers are addressed by IP address, so the certificate authority and the shared key
     * are verified, but not the host name.
     */
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
