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
 * Transfers full documents between nodes in parts, for a node that starts or that is too far behind to catch up by
 * changes.
 *
 * <p>Confined to the control thread. A node fetches one document at a time, from one peer. A fetch without progress for
 * one second is abandoned; the next digest with a higher version starts another fetch.
 */
final class DocumentTransfer {

    /** Size of a part, small enough not to delay calls on the connection that both share. */
    static final int PART_BYTES = 32 << 10;

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final long STALL_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long SERVED_RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

    private final ActiveConfiguration activeConfiguration;
    private final Messenger messenger;
    private final Ticker ticker;

    private InetSocketAddress source;
    private final List<ConfigurationPart> fetched = new ArrayList<>();
    private long lastProgressAt;

    private ImmutableList<ConfigurationPart> served = ImmutableList.of();
    private long servedAt;

    private DocumentTransfer(ActiveConfiguration activeConfiguration, Messenger messenger, Ticker ticker) {
        this.activeConfiguration = activeConfiguration;
        this.messenger = messenger;
        this.ticker = ticker;
    }

    static DocumentTransfer create(ActiveConfiguration activeConfiguration, Messenger messenger, Ticker ticker) {
        return new DocumentTransfer(activeConfiguration, messenger, ticker);
    }

    /** Starts to fetch the document from the peer, unless a fetch is making progress. */
    void fetch(InetSocketAddress peer) {
        if (source != null && ticker.nanos() - lastProgressAt < STALL_TIMEOUT_NANOS) {
            return;
        }
        source = peer;
        fetched.clear();
        request(0);
    }

    private void request(long version) {
        lastProgressAt = ticker.nanos();
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
            // The peer serves a later document now: restart the fetch with that document.
            fetched.clear();
        }
        if (part.getIndex() == fetched.size()) {
            fetched.add(part);
            continueFetch(part);
        }
    }

    private void continueFetch(ConfigurationPart last) {
        if (fetched.size() < last.getCount()) {
            request(last.getVersion());
            return;
        }
        try {
            DocumentCodec.Document document = DocumentCodec.join(fetched);
            activeConfiguration.adopt(document.configuration(), document.recent());
        } catch (IOException e) {
            log.atWarning().withCause(e).log("configuration document from %s cannot be read", source);
        }
        source = null;
        fetched.clear();
    }

    void onRequest(InetSocketAddress peer, ConfigurationWholeRequest request) {
        if (activeConfiguration.current().version() == Configuration.DEFAULTS_VERSION) {
            return;
        }
        boolean continuesServed = !served.isEmpty() && served.get(0).getVersion() == request.getVersion();
        if (!continuesServed) {
            refreshServed();
        }
        int index = continuesServed ? request.getIndex() : 0;
        if (index < served.size()) {
            servedAt = ticker.nanos();
            messenger.send(peer, ConfigurationMessage.newBuilder().setPart(served.get(index)));
        }
    }

    /**
     * Encodes the document again, unless the served copy was requested within the last seconds and the change log
     * covers all changes since. The receiver of such a copy gets the missing changes afterwards, so the document is not
     * encoded for each request.
     */
    private void refreshServed() {
        Configuration current = activeConfiguration.current();
        boolean recentlyServed = !served.isEmpty() && ticker.nanos() - servedAt < SERVED_RETENTION_NANOS;
        if (recentlyServed
                && served.get(0).getVersion() >= activeConfiguration.changeLog().reach(current.version())) {
            return;
        }
        served = DocumentCodec.split(
                current.version(), DocumentCodec.encode(current, activeConfiguration.changes()), PART_BYTES);
    }

    /** Releases the encoded document after a period without requests. */
    void releaseIdle() {
        if (!served.isEmpty() && ticker.nanos() - servedAt > SERVED_RETENTION_NANOS) {
            served = ImmutableList.of();
        }
    }
}
