package io.beryldock.peer;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of a peer transport. Immutable.
 *
 * @param bind address of the peer listener, settings key {@code peers}; port 0 takes a free one
 * @param tls files of mutual TLS; empty means that peers talk in the clear, which the settings must ask for
 * @param limits bounds of memory and time
 * @param liveness bounds by which a connection is judged
 */
public record PeerTransportSettings(
        InetSocketAddress bind, Optional<PeerTlsFiles> tls, PeerLimits limits, PeerLiveness liveness) {

    public PeerTransportSettings {
        Objects.requireNonNull(bind, "bind");
        Objects.requireNonNull(tls, "tls");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(liveness, "liveness");
    }

    /** Peers talk in the clear: for a trusted network and for tests only. */
    public static PeerTransportSettings insecure(InetSocketAddress bind) {
        return new PeerTransportSettings(bind, Optional.empty(), PeerLimits.defaults(), PeerLiveness.defaults());
    }

    /** Peers prove to each other that an authority of the trust file signed their certificate. */
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
