package pumicemoor.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.TlsChannelCredentials;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import java.io.StringWriter;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.cert.X509Certificate;
import java.util.Date;
import java.util.Iterator;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.extproc.proto.v1.Ask;
import pumicemoor.extproc.proto.v1.DecisionsGrpc;
import pumicemoor.extproc.proto.v1.FromCaller;
import pumicemoor.extproc.proto.v1.ToCaller;
import pumicemoor.net.NodeServer;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.operator.OperatorFile;

/** Mutual TLS with certificates generated for each run, which are replaced while the router runs. */
class TlsTest {

    @TempDir
    Path folder;

    private long serial = 1;

    private record CertifiedKey(X509Certificate certificate, KeyPair keys) {}

    private CertifiedKey issue(String name, CertifiedKey issuerKey) throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(256);
        KeyPair keys = generator.generateKeyPair();
        X500Name issuer = new X500Name("CN="
                + (issuerKey == null
                        ? name
                        : issuerKey
                                .certificate()
                                .getSubjectX500Principal()
                                .getName()
                                .substring(3)));
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                issuer,
                BigInteger.valueOf(serial++),
                new Date(System.currentTimeMillis() - 60_000),
                new Date(System.currentTimeMillis() + 3_600_000),
                new X500Name("CN=" + name),
                keys.getPublic());
        builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(issuerKey == null));
        builder.addExtension(
                Extension.subjectAlternativeName,
                false,
                new GeneralNames(new GeneralName(GeneralName.iPAddress, "127.0.0.1")));
        return new CertifiedKey(
                new JcaX509CertificateConverter()
                        .getCertificate(builder.build(new JcaContentSignerBuilder("SHA256withECDSA")
                                .build((issuerKey == null ? keys : issuerKey.keys()).getPrivate()))),
                keys);
    }

    private void write(CertifiedKey pair, String name) throws Exception {
        StringWriter certificate = new StringWriter();
        try (JcaPEMWriter pem = new JcaPEMWriter(certificate)) {
            pem.writeObject(pair.certificate());
        }
        StringWriter key = new StringWriter();
        try (JcaPEMWriter pem = new JcaPEMWriter(key)) {
            pem.writeObject(new JcaPKCS8Generator(pair.keys().getPrivate(), null));
        }
        Files.writeString(folder.resolve(name + ".pem"), certificate.toString());
        Files.writeString(folder.resolve(name + "-key.pem"), key.toString());
    }

    private ManagedChannel channel(int port, String trustedName, String clientName) throws Exception {
        TlsChannelCredentials.Builder credentials = TlsChannelCredentials.newBuilder()
                .trustManager(folder.resolve(trustedName + ".pem").toFile());
        if (clientName != null) {
            credentials.keyManager(
                    folder.resolve(clientName + ".pem").toFile(),
                    folder.resolve(clientName + "-key.pem").toFile());
        }
        return NettyChannelBuilder.forAddress("127.0.0.1", port, credentials.build())
                .build();
    }

    private static ToCaller ask(ManagedChannel channel) {
        Iterator<ToCaller> answers = ClientCalls.blockingServerStreamingCall(
                channel,
                DecisionsGrpc.getDecideMethod().toBuilder()
                        .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
                        .build(),
                io.grpc.CallOptions.DEFAULT.withDeadlineAfter(10, java.util.concurrent.TimeUnit.SECONDS),
                FromCaller.newBuilder()
                        .setAsk(Ask.newBuilder()
                                .setId("q")
                                .setRequestClass("segment")
                                .setObject("x")
                                .setGroup(-1))
                        .build());
        return answers.next();
    }

    @Test
    void onlyCallersWithATrustedCertificateAreAcceptedAndReloadedCertificatesAreUsed() throws Exception {
        CertifiedKey authority = issue("authority", null);
        CertifiedKey otherAuthority = issue("other", null);
        write(authority, "authority");
        write(otherAuthority, "other");
        write(issue("router", authority), "router");
        write(issue("proxy-1", authority), "proxy");
        write(issue("stranger", otherAuthority), "stranger");
        OperatorConfig operator = OperatorFile.read(Files.writeString(
                folder.resolve("operator.yaml"),
                """
                processor:
                  listen: 127.0.0.1:0
                  tls: {certificate: "%1$s/router.pem", key: "%1$s/router-key.pem", callers: "%1$s/authority.pem"}
                  rules: [{path: "/(?P<object>.+)", class: segment}]
                """
                        .formatted(folder)));
        NodeConfig config = NodeTestConfig.parse(NodeTestConfig.json(
                "127.0.0.1:0",
                "",
                NodeTestConfig.list(1, true, NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0))));
        NodeServer server = new NodeServer(config, operator);
        ProcessorFront front = new ProcessorFront(operator.processor().orElseThrow(), config.settingsReader());
        server.attachCallFront(front);
        server.start(false);
        ManagedChannel first = channel(front.port(), "authority", "proxy");
        ManagedChannel withoutCertificate = channel(front.port(), "authority", null);
        ManagedChannel stranger = channel(front.port(), "authority", "stranger");
        try {
            assertEquals("s-1", ask(first).getNamed().getCache());
            assertEquals(
                    Status.Code.UNAVAILABLE,
                    assertThrows(StatusRuntimeException.class, () -> ask(withoutCertificate))
                            .getStatus()
                            .getCode());
            assertEquals(
                    Status.Code.UNAVAILABLE,
                    assertThrows(StatusRuntimeException.class, () -> ask(stranger))
                            .getStatus()
                            .getCode());
            write(issue("router", otherAuthority), "router");
            java.util.concurrent.CompletableFuture<Void> reloaded = new java.util.concurrent.CompletableFuture<>();
            server.execute(() -> {
                front.applyOperatorConfig(operator);
                reloaded.complete(null);
            });
            reloaded.get(10, java.util.concurrent.TimeUnit.SECONDS);
            assertEquals("s-1", ask(first).getNamed().getCache(), "the open connection stays in use");
            ManagedChannel second = channel(front.port(), "other", "proxy");
            try {
                assertEquals(
                        "s-1", ask(second).getNamed().getCache(), "new handshakes use the certificates loaded last");
            } finally {
                second.shutdownNow();
            }
        } finally {
            first.shutdownNow();
            withoutCertificate.shutdownNow();
            stranger.shutdownNow();
            server.terminate();
            server.awaitEnd(10_000);
        }
    }
}
