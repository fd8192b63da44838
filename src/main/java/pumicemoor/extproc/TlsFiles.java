package pumicemoor.extproc;

import io.grpc.ServerCredentials;
import io.grpc.TlsServerCredentials;
import io.grpc.util.AdvancedTlsX509KeyManager;
import io.grpc.util.AdvancedTlsX509TrustManager;
import java.io.File;
import java.io.IOException;
import java.security.GeneralSecurityException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pumicemoor.operator.ProcessorSection;

/**
 * Loads TLS certificates from files, and again at each reload, without closing connections: new handshakes use the
 * certificates loaded last. If files are unusable, the previous certificates remain in force. It must never hold a
 * password or write a key anywhere.
 */
final class TlsFiles {

    private static final Logger LOG = LoggerFactory.getLogger(TlsFiles.class);

    private final ProcessorSection.Tls files;
    private final AdvancedTlsX509KeyManager keyManager = new AdvancedTlsX509KeyManager();
    private final AdvancedTlsX509TrustManager callerTrust;

    TlsFiles(ProcessorSection.Tls files) throws IOException {
        this.files = files;
        try {
            callerTrust = files.callers() == null
                    ? null
                    : AdvancedTlsX509TrustManager.newBuilder()
                            .setVerification(AdvancedTlsX509TrustManager.Verification.CERTIFICATE_ONLY_VERIFICATION)
                            .build();
            load();
        } catch (GeneralSecurityException e) {
            throw new IOException("the TLS certificates cannot be loaded: " + e.getMessage(), e);
        }
    }

    private void load() throws IOException, GeneralSecurityException {
        keyManager.updateIdentityCredentials(new File(files.certificate()), new File(files.key()));
        if (callerTrust != null) {
            callerTrust.updateTrustCredentials(new File(files.callers()));
        }
    }

    void reload() {
        try {
            load();
        } catch (IOException | GeneralSecurityException | RuntimeException e) {
            LOG.error("reloading the TLS certificates failed, the previous ones are kept: {}", e.getMessage());
        }
    }

    ServerCredentials credentials() {
        TlsServerCredentials.Builder builder = TlsServerCredentials.newBuilder().keyManager(keyManager);
        if (callerTrust != null) {
            builder.trustManager(callerTrust).clientAuth(TlsServerCredentials.ClientAuth.REQUIRE);
        }
        return builder.build();
    }
}
