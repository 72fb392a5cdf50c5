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
 * Mutual TLS of peer connections, renewed when its files change; connections that stand keep the keys they began with.
 *
 * <p>A peer is trusted when its certificate chains to the trust file. Peers are known by IP numbers that certificates
 * needn't name, so no host name is checked. A resumed session skips the check of certificates; sessions end with their
 * keys or after {@value #SESSION_SECONDS} seconds. Thread safe: connections read one immutable pair of contexts.
 */
final class PeerTls {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long SESSION_SECONDS = 600;
    private static final String[] PROTOCOLS = {"TLSv1.3"};

    private final PeerTlsFiles files;
    private volatile Keys keys;

    private PeerTls(PeerTlsFiles files, Keys keys) {
        this.files = files;
        this.keys = keys;
    }

    static PeerTls load(PeerTlsFiles files) throws PeerStartException {
        try {
            return new PeerTls(files, Keys.of(Material.read(files)));
        } catch (IOException | IllegalArgumentException e) {
            throw new PeerStartException(
                    "peers.tls: can't use " + files.certificateFile() + ", " + files.keyFile() + " and "
                            + files.trustFile() + " (" + e.getMessage()
                            + "); give PEM files: a certificate chain, its PKCS#8 key without password, and the"
                            + " authorities to trust",
                    e);
        }
    }

    /** For a connection that this node makes; resumes the session of an earlier one to the same address. */
    SslHandler newMade(ByteBufAllocator allocator, InetSocketAddress address) {
        return keys.made().newHandler(allocator, address.getHostString(), address.getPort());
    }

    /** For a connection that this node accepts. */
    SslHandler newAccepted(ByteBufAllocator allocator) {
        return keys.accepted().newHandler(allocator);
    }

    /**
     * Takes changed files into use for new connections; returns whether it did.
     *
     * <p>Guards against files caught half written, which show as a broken key or one that doesn't fit its certificate:
     * the old keys stay in use and the next reload tries again.
     */
    boolean reload() {
        try {
            Material material = Material.read(files);
            if (material.equals(keys.material())) {
                return false;
            }
            keys = Keys.of(material);
            log.atInfo().log("new keys from %s are in use for new peer connections", files.certificateFile());
            return true;
        } catch (IOException | IllegalArgumentException e) {
            log.atWarning().withCause(e).log(
                    "the changed files of peers.tls can't be used, the old keys stay; put whole PEM files there");
            return false;
        }
    }

    /** Contents of the files. Immutable by agreement. */
    private static final class Material {
        private final byte[] certificate;
        private final byte[] key;
        private final byte[] trust;

        private Material(byte[] certificate, byte[] key, byte[] trust) {
            this.certificate = certificate;
            this.key = key;
            this.trust = trust;
        }

        static Material read(PeerTlsFiles files) throws IOException {
            return new Material(bytes(files.certificateFile()), bytes(files.keyFile()), bytes(files.trustFile()));
        }

        private static byte[] bytes(Path file) throws IOException {
            return Files.readAllBytes(file);
        }

        SslContext made() throws SSLException {
            return common(SslContextBuilder.forClient().keyManager(stream(certificate), stream(key)))
                    .endpointIdentificationAlgorithm(null)
                    .build();
        }

        SslContext accepted() throws SSLException {
            return common(SslContextBuilder.forServer(stream(certificate), stream(key)))
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
        }

        private SslContextBuilder common(SslContextBuilder builder) {
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
            return other instanceof Material that
                    && Arrays.equals(certificate, that.certificate)
                    && Arrays.equals(key, that.key)
                    && Arrays.equals(trust, that.trust);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(certificate);
        }
    }

    /** The two contexts made of one set of files. */
    private record Keys(Material material, SslContext made, SslContext accepted) {
        static Keys of(Material material) throws SSLException {
            return new Keys(material, material.made(), material.accepted());
        }
    }
}
