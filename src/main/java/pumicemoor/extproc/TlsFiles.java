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
 * Certificates from files, read again at a reload while connections go on: new handshakes use what was read last.
 * Files that can't be used leave those before in force. It must never hold a password or write a key anywhere.
 */
final class TlsFiles {

    private static final Logger LOG = LoggerFactory.getLogger(TlsFiles.class);

    private final ProcessorSection.Tls files;
    private final AdvancedTlsX509KeyManager keys = new AdvancedTlsX509KeyManager();
    private final AdvancedTlsX509TrustManager callers;

    TlsFiles(ProcessorSection.Tls files) throws IOException {
        this.files = files;
        try {
            callers = files.callers() == null
                    ? null
                    : AdvancedTlsX509TrustManager.newBuilder()
                            .setVerification(AdvancedTlsX509TrustManager.Verification.CERTIFICATE_ONLY_VERIFICATION)
                            .build();
            load();
        } catch (GeneralSecurityException e) {
            throw new IOException("certificates can't be used: " + e.getMessage(), e);
        }
    }

    private void load() throws IOException, GeneralSecurityException {
        keys.updateIdentityCredentials(new File(files.certificate()), new File(files.key()));
        if (callers != null) {
            callers.updateTrustCredentials(new File(files.callers()));
        }
    }

    void read() {
        try {
            load();
        } catch (IOException | GeneralSecurityException | RuntimeException e) {
            LOG.error("the certificates stay as they were: {}", e.getMessage());
        }
    }

    ServerCredentials credentials() {
        TlsServerCredentials.Builder builder = TlsServerCredentials.newBuilder().keyManager(keys);
        if (callers != null) {
            builder.trustManager(callers).clientAuth(TlsServerCredentials.ClientAuth.REQUIRE);
        }
        return builder.build();
    }
}
