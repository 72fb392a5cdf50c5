package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.beryldock.time.Ticker;
import io.beryldock.wire.ConfigurationMessage;
import io.beryldock.wire.ConfigurationPart;
import io.beryldock.wire.ConfigurationWholeRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Hands whole documents from node to node, part by part: when a node starts, or is too far behind for changes.
 *
 * <p>On the control thread only. One document is fetched at a time, from one peer; without progress for a second the
 * fetch is given up, and the next digest that tells of a higher version starts another.
 */
final class WholeExchange {

    /** Bytes of a part: few enough not to hold up calls on the connection that both share. */
    static final int PART_BYTES = 32 << 10;

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final long GIVE_UP_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long KEEP_NANOS = Duration.ofSeconds(10).toNanos();

    private final ConfigurationKeeper keeper;
    private final Messenger messenger;
    private final Ticker ticker;

    private InetSocketAddress source;
    private final List<ConfigurationPart> fetched = new ArrayList<>();
    private long progressAt;

    private ImmutableList<ConfigurationPart> served = ImmutableList.of();
    private long servedAt;

    private WholeExchange(ConfigurationKeeper keeper, Messenger messenger, Ticker ticker) {
        this.keeper = keeper;
        this.messenger = messenger;
        this.ticker = ticker;
    }

    static WholeExchange create(ConfigurationKeeper keeper, Messenger messenger, Ticker ticker) {
        return new WholeExchange(keeper, messenger, ticker);
    }

    /** Begins to fetch from the peer, unless a fetch is getting on. */
    void fetch(InetSocketAddress peer) {
        if (source != null && ticker.nanos() - progressAt < GIVE_UP_NANOS) {
            return;
        }
        source = peer;
        fetched.clear();
        request(0);
    }

    private void request(long version) {
        progressAt = ticker.nanos();
        ConfigurationWholeRequest request = ConfigurationWholeRequest.newBuilder()
                .setVersion(version)
                .setIndex(fetched.size())
                .build();
        messenger.send(source, ConfigurationMessage.newBuilder().setWholeRequest(request));
    }

    void onPart(InetSocketAddress peer, ConfigurationPart part) {
        if (!peer.equals(source)) {
            return;
        }
        if (!fetched.isEmpty() && fetched.get(0).getHash() != part.getHash()) {
            // The peer has gone on to a later document: begin again with that.
            fetched.clear();
        }
        if (part.getIndex() == fetched.size()) {
            fetched.add(part);
            goOn(part);
        }
    }

    private void goOn(ConfigurationPart last) {
        if (fetched.size() < last.getCount()) {
            request(last.getVersion());
            return;
        }
        try {
            DocumentCodec.Whole whole = DocumentCodec.join(fetched);
            keeper.take(whole.configuration(), whole.recent());
        } catch (IOException e) {
            log.atWarning().withCause(e).log("a configuration from %s can't be read", source);
        }
        source = null;
        fetched.clear();
    }

    void onRequest(InetSocketAddress peer, ConfigurationWholeRequest request) {
        if (keeper.current().version() == Configuration.DEFAULTS_VERSION) {
            return;
        }
        boolean goesOn = !served.isEmpty() && served.get(0).getVersion() == request.getVersion();
        if (!goesOn) {
            refresh();
        }
        int index = goesOn ? request.getIndex() : 0;
        if (index < served.size()) {
            servedAt = ticker.nanos();
            messenger.send(peer, ConfigurationMessage.newBuilder().setPart(served.get(index)));
        }
    }

    /** Packs the document again, but not for each asker: one a few seconds old is followed by the missing changes. */
    private void refresh() {
        Configuration current = keeper.current();
        boolean sameLine = !served.isEmpty() && ticker.nanos() - servedAt < KEEP_NANOS;
        if (sameLine && served.get(0).getVersion() >= keeper.changeLog().reach(current.version())) {
            return;
        }
        served = DocumentCodec.cut(current.version(), DocumentCodec.encode(current, keeper.changes()), PART_BYTES);
    }

    /** Frees the packed document when nobody has asked for a while. */
    void tick() {
        if (!served.isEmpty() && ticker.nanos() - servedAt > KEEP_NANOS) {
            served = ImmutableList.of();
        }
    }
}
