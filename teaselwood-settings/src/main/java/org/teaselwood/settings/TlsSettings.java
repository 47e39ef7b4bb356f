package org.teaselwood.settings;

import java.nio.file.Path;

/**
 * Files for TLS, from the section {@code [tls]}, all in PEM. Immutable.
 *
 * @param certificate certificate chain of this process
 * @param privateKey private key of the certificate
 * @param authorities certificate authorities that peers are verified against
 */
public record TlsSettings(Path certificate, Path privateKey, Path authorities) {
    static final String SECTION = "tls";
    private static final Setting<Path> CERTIFICATE = Setting.required("certificate", ValueTypes.path());
    private static final Setting<Path> PRIVATE_KEY = Setting.required("private-key", ValueTypes.path());
    private static final Setting<Path> AUTHORITIES = Setting.required("authorities", ValueTypes.path());
    static final SectionSchema SCHEMA = SectionSchema.of(CERTIFICATE, PRIVATE_KEY, AUTHORITIES);

    static TlsSettings of(SectionValues values) {
        return new TlsSettings(values.get(CERTIFICATE), values.get(PRIVATE_KEY), values.get(AUTHORITIES));
    }
}
