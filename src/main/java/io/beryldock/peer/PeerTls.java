package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import javax.net.ssl.SSLException;

/**
 * The mutual TLS configuration of peer connections, which is reloaded when its files change.
 *
 * <p>Open connections keep the keys with which they were made. A peer is trusted if its certificate chains to the trust
 * file. Host names are not verified, because peers are addressed by IP addresses that certificates need not contain.
 * The resumption of a TLS session skips the certificate check; sessions expire when the keys are reloaded or after
 * {@value #SESSION_SECONDS} seconds.
 *
 * <p>Thread safe: each connection reads one immutable pair of contexts.
 */
final class PeerTls {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long SESSION_SECONDS = 600;
    private static final String[] PROTOCOLS = {"TLSv1.3"};

    private final PeerTlsFiles files;
    private volatile TlsContexts contexts;

    private PeerTls(PeerTlsFiles files, TlsContexts contexts) {
        this.files = files;
        this.contexts = contexts;
    }

    static PeerTls load(PeerTlsFiles files) throws PeerStartException {
        try {
            return new PeerTls(files, TlsContexts.of(KeyMaterial.read(files)));
        } catch (IOException | IllegalArgumentException e) {
            throw new PeerStartException(
                    "peers.tls: can't use " + files.certificateFile() + ", " + files.keyFile() + " and "
                            + files.trustFile() + " (" + e.getMessage()
                            + "); give PEM files: a certificate chain, its PKCS#8 key without password, and the"
                            + " authorities to trust",
                    e);
        }
    }

    /** Creates the handler of an outbound connection, which may resume the session of an earlier one to the address. */
    SslHandler newClientHandler(ByteBufAllocator allocator, InetSocketAddress address) {
        return contexts.clientContext().newHandler(allocator, address.getHostString(), address.getPort());
    }

    /** Creates the handler of an accepted connection. */
    SslHandler newServerHandler(ByteBufAllocator allocator) {
        return contexts.serverContext().newHandler(allocator);
    }

    /**
     * Reloads the files if they have changed and uses them for new connections; returns whether it did.
     *
     * <p>A file that is still being written shows as a malformed key or as one that doesn't match its certificate. The
     * previous keys then stay in use and the next reload tries again.
     */
    boolean reload() {
        try {
            KeyMaterial material = KeyMaterial.read(files);
            if (material.equals(contexts.material())) {
                return false;
            }
            contexts = TlsContexts.of(material);
            log.atInfo().log(
                    "reloaded the peers.tls files (certificate %s); new peer connections use them",
                    files.certificateFile());
            return true;
        } catch (IOException | IllegalArgumentException e) {
            log.atWarning().withCause(e).log(
                    "can't use the changed peers.tls files, the previous keys stay in use; provide complete PEM files");
            return false;
        }
    }

    /** The contents of the files. Its arrays are never modified. */
    private static final class KeyMaterial {
        private final byte[] certificate;
        private final byte[] key;
        private final byte[] trust;

        private KeyMaterial(byte[] certificate, byte[] key, byte[] trust) {
            this.certificate = certificate;
            this.key = key;
            this.trust = trust;
        }

        static KeyMaterial read(PeerTlsFiles files) throws IOException {
            return new KeyMaterial(bytes(files.certificateFile()), bytes(files.keyFile()), bytes(files.trustFile()));
        }

        private static byte[] bytes(Path file) throws IOException {
            return Files.readAllBytes(file);
        }

        SslContext clientContext() throws SSLException {
            return withCommonOptions(SslContextBuilder.forClient().keyManager(stream(certificate), stream(key)))
                    .endpointIdentificationAlgorithm(null)
                    .build();
        }

        SslContext serverContext() throws SSLException {
            return withCommonOptions(SslContextBuilder.forServer(stream(certificate), stream(key)))
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
        }

        private SslContextBuilder withCommonOptions(SslContextBuilder builder) {
            return builder.sslProvider(SslProvider.JDK)
                    .protocols(PROTOCOLS)
                    .sessionTimeout(SESSION_SECONDS)
                    .trustManager(stream(trust));
        }

        private static ByteArrayInputStream stream(byte[] bytes) {
            return new ByteArrayInputStream(bytes);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof KeyMaterial that
                    && Arrays.equals(certificate, that.certificate)
                    && Arrays.equals(key, that.key)
                    && Arrays.equals(trust, that.trust);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(certificate);
        }
    }

    /** The client and server contexts that were built from one set of files. */
    private record TlsContexts(KeyMaterial material, SslContext clientContext, SslContext serverContext) {
        static TlsContexts of(KeyMaterial material) throws SSLException {
            return new TlsContexts(material, material.clientContext(), material.serverContext());
        }
    }
}
