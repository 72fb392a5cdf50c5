package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.Ticker;
import io.beryldock.wire.ConfigurationDigest;
import io.beryldock.wire.ConfigurationMessage;
import io.beryldock.wire.ConfigurationPush;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Distributes changes between nodes: new changes are pushed to the neighbours at once, and periodic digests of the held
 * version detect lost pushes.
 *
 * <p>Confined to the control thread. A node that receives a digest with a lower version replies with the missing
 * changes; a node that receives one with a higher version replies with its own digest. Nodes with the same version do
 * not reply, unless a reply is requested.
 */
final class DigestExchange {

    /** Maximum number of changes in one message. */
    static final int MAX_PUSH = 64;

    private static final int MAX_KNOWN_PEERS = 64;
    private static final long REQUEST_INTERVAL_NANOS = Duration.ofMillis(300).toNanos();

    private final ActiveConfiguration activeConfiguration;
    private final Messenger messenger;
    private final Ticker ticker;
    private final Consumer<InetSocketAddress> fetchDocument;
    private final Map<InetSocketAddress, Long> knownVersions = new LinkedHashMap<>(MAX_KNOWN_PEERS, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InetSocketAddress, Long> eldest) {
            return size() > MAX_KNOWN_PEERS;
        }
    };
    private long requestedAt = Long.MIN_VALUE / 2;
    private long requestedVersion = -1;

    private DigestExchange(
            ActiveConfiguration activeConfiguration,
            Messenger messenger,
            Ticker ticker,
            Consumer<InetSocketAddress> fetchDocument) {
        this.activeConfiguration = activeConfiguration;
        this.messenger = messenger;
        this.ticker = ticker;
        this.fetchDocument = fetchDocument;
    }

    /**
     * Creates an exchange.
     *
     * @param fetchDocument fetches the full document from a peer whose change log does not reach back far enough
     */
    static DigestExchange create(
            ActiveConfiguration activeConfiguration,
            Messenger messenger,
            Ticker ticker,
            Consumer<InetSocketAddress> fetchDocument) {
        return new DigestExchange(activeConfiguration, messenger, ticker, fetchDocument);
    }

    /** Pushes the changes after the version to the neighbours, except those known to have them. */
    void push(long after, ImmutableList<NodeDescriptor> neighbours) {
        for (NodeDescriptor neighbour : neighbours) {
            InetSocketAddress peer = neighbour.peerAddress();
            if (knownVersions.getOrDefault(peer, 0L)
                    < activeConfiguration.current().version()) {
                sendChanges(peer, after);
            }
        }
    }

    /** Sends the peer a digest of this node's version. */
    void sendDigest(InetSocketAddress peer) {
        sendDigest(peer, false);
    }

    /** Sends the peer a digest of this node's version, optionally with a request for a reply in any case. */
    void sendDigest(InetSocketAddress peer, boolean requestReply) {
        Configuration current = activeConfiguration.current();
        ConfigurationDigest digest = ConfigurationDigest.newBuilder()
                .setVersion(current.version())
                .setLineage(current.lineage())
                .setReach(activeConfiguration.changeLog().reach(current.version()))
                .setAnswer(requestReply)
                .build();
        messenger.send(peer, ConfigurationMessage.newBuilder().setDigest(digest));
    }

    void onDigest(InetSocketAddress peer, ConfigurationDigest digest) {
        knownVersions.put(peer, digest.getVersion());
        Configuration current = activeConfiguration.current();
        if (digest.getVersion() < current.version()) {
            answerOlder(peer, digest);
        } else if (digest.getVersion() > current.version()) {
            catchUp(peer, digest);
        } else if (digest.getAnswer()) {
            sendDigest(peer);
        }
    }

    private void answerOlder(InetSocketAddress peer, ConfigurationDigest digest) {
        Configuration current = activeConfiguration.current();
        boolean reaches = digest.getVersion() >= activeConfiguration.changeLog().reach(current.version());
        if (reaches && digest.getLineage().equals(current.lineage())) {
            sendChanges(peer, digest.getVersion());
        } else {
            sendDigest(peer);
        }
    }

    private void catchUp(InetSocketAddress peer, ConfigurationDigest digest) {
        Configuration current = activeConfiguration.current();
        if (digest.getReach() <= current.version() && digest.getLineage().equals(current.lineage())) {
            requestChanges(peer);
        } else {
            fetchDocument.accept(peer);
        }
    }

    /**
     * Requests the missing changes, at most once per version within a short interval, because several peers offer the
     * same changes.
     */
    private void requestChanges(InetSocketAddress peer) {
        long now = ticker.nanos();
        long version = activeConfiguration.current().version();
        if (version == requestedVersion && now - requestedAt < REQUEST_INTERVAL_NANOS) {
            return;
        }
        requestedVersion = version;
        requestedAt = now;
        sendDigest(peer);
    }

    private void sendChanges(InetSocketAddress peer, long after) {
        Configuration current = activeConfiguration.current();
        ImmutableList<ChangeRecord> records = activeConfiguration.changeLog().after(after, MAX_PUSH);
        if (records.isEmpty() || records.get(0).version() != after + 1) {
            sendDigest(peer);
            return;
        }
        knownVersions.put(
                peer,
                Math.max(
                        knownVersions.getOrDefault(peer, 0L),
                        records.get(records.size() - 1).version()));
        ConfigurationPush push = ConfigurationPush.newBuilder()
                .setLineage(current.lineage())
                .addAllRecords(RecordCodec.encode(records))
                .build();
        messenger.send(peer, ConfigurationMessage.newBuilder().setPush(push));
    }

    void onPush(InetSocketAddress peer, ConfigurationPush push) {
        ImmutableList<ChangeRecord> records = RecordCodec.decode(push.getRecordsList());
        if (records.isEmpty()) {
            return;
        }
        long last = records.get(records.size() - 1).version();
        knownVersions.put(peer, last);
        boolean increased = activeConfiguration.apply(push.getLineage(), records);
        boolean gap = last > activeConfiguration.current().version();
        if (gap || (increased && records.size() == MAX_PUSH)) {
            requestChanges(peer);
        }
    }
}
