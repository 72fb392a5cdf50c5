package io.beryldock.peer;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * The settings of a peer transport. Immutable.
 *
 * @param bind address of the peer listener, settings key {@code peers}; port 0 selects a free port
 * @param tls files for mutual TLS; empty for unencrypted connections, which the settings must request explicitly
 * @param limits memory and time limits
 * @param liveness intervals and time-outs that decide whether a connection still works
 */
public record PeerTransportSettings(
        InetSocketAddress bind, Optional<PeerTlsFiles> tls, PeerLimits limits, PeerLiveness liveness) {

    public PeerTransportSettings {
        Objects.requireNonNull(bind, "bind");
        Objects.requireNonNull(tls, "tls");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(liveness, "liveness");
    }

    /** Returns settings for unencrypted connections, which are for trusted networks and tests only. */
    public static PeerTransportSettings insecure(InetSocketAddress bind) {
        return new PeerTransportSettings(bind, Optional.empty(), PeerLimits.defaults(), PeerLiveness.defaults());
    }

    /** Returns settings for mutual TLS: each peer must present a certificate that chains to the trust file. */
    public static PeerTransportSettings secure(InetSocketAddress bind, PeerTlsFiles tls) {
        return new PeerTransportSettings(bind, Optional.of(tls), PeerLimits.defaults(), PeerLiveness.defaults());
    }

    public PeerTransportSettings withLimits(PeerLimits other) {
        return new PeerTransportSettings(bind, tls, other, liveness);
    }

    public PeerTransportSettings withLiveness(PeerLiveness other) {
        return new PeerTransportSettings(bind, tls, limits, other);
    }
}
