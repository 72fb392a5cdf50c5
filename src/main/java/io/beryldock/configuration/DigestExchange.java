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
 * Spreads changes among nodes: a new one is pushed to the neighbours at once, and digests of what a node has, sent now
 * and then, find out what was lost.
 *
 * <p>On the control thread only. A digest is answered by a node that has more, with the missing changes, and by one
 * that has less, with its own digest; nodes that have the same say nothing more.
 */
final class DigestExchange {

    /** Changes in one message. */
    static final int MAX_PUSH = 64;

    private static final int MAX_KNOWN = 64;
    private static final long ASK_AGAIN_NANOS = Duration.ofMillis(300).toNanos();

    private final ConfigurationKeeper keeper;
    private final Messenger messenger;
    private final Ticker ticker;
    private final Consumer<InetSocketAddress> fetchWhole;
    private final Map<InetSocketAddress, Long> known = new LinkedHashMap<>(MAX_KNOWN, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InetSocketAddress, Long> eldest) {
            return size() > MAX_KNOWN;
        }
    };
    private long askedAt = Long.MIN_VALUE / 2;
    private long askedFor = -1;

    private DigestExchange(
            ConfigurationKeeper keeper, Messenger messenger, Ticker ticker, Consumer<InetSocketAddress> fetchWhole) {
        this.keeper = keeper;
        this.messenger = messenger;
        this.ticker = ticker;
        this.fetchWhole = fetchWhole;
    }

    /**
     * Makes an exchange.
     *
     * @param fetchWhole gets the whole document from a peer whose changes don't reach back far enough
     */
    static DigestExchange create(
            ConfigurationKeeper keeper, Messenger messenger, Ticker ticker, Consumer<InetSocketAddress> fetchWhole) {
        return new DigestExchange(keeper, messenger, ticker, fetchWhole);
    }

    /** Tells the neighbours of changes after the version, but for those known to have them. */
    void push(long after, ImmutableList<NodeDescriptor> neighbours) {
        for (NodeDescriptor neighbour : neighbours) {
            InetSocketAddress peer = neighbour.peerAddress();
            if (known.getOrDefault(peer, 0L) < keeper.current().version()) {
                sendChanges(peer, after);
            }
        }
    }

    /** Tells the peer what this node has. */
    void sendDigest(InetSocketAddress peer) {
        sendDigest(peer, false);
    }

    /** Tells the peer what this node has, and maybe wants an answer in any case. */
    void sendDigest(InetSocketAddress peer, boolean answer) {
        Configuration current = keeper.current();
        ConfigurationDigest digest = ConfigurationDigest.newBuilder()
                .setVersion(current.version())
                .setLineage(current.lineage())
                .setReach(keeper.changeLog().reach(current.version()))
                .setAnswer(answer)
                .build();
        messenger.send(peer, ConfigurationMessage.newBuilder().setDigest(digest));
    }

    void onDigest(InetSocketAddress peer, ConfigurationDigest digest) {
        known.put(peer, digest.getVersion());
        Configuration current = keeper.current();
        if (digest.getVersion() < current.version()) {
            answerBehind(peer, digest);
        } else if (digest.getVersion() > current.version()) {
            catchUp(peer, digest);
        } else if (digest.getAnswer()) {
            sendDigest(peer);
        }
    }

    private void answerBehind(InetSocketAddress peer, ConfigurationDigest digest) {
        Configuration current = keeper.current();
        boolean reaches = digest.getVersion() >= keeper.changeLog().reach(current.version());
        if (reaches && digest.getLineage().equals(current.lineage())) {
            sendChanges(peer, digest.getVersion());
        } else {
            sendDigest(peer);
        }
    }

    private void catchUp(InetSocketAddress peer, ConfigurationDigest digest) {
        Configuration current = keeper.current();
        if (digest.getReach() <= current.version() && digest.getLineage().equals(current.lineage())) {
            ask(peer);
        } else {
            fetchWhole.accept(peer);
        }
    }

    /** Asks for what is missing, not more than once for one version within a moment: several peers offer it. */
    private void ask(InetSocketAddress peer) {
        long now = ticker.nanos();
        long version = keeper.current().version();
        if (version == askedFor && now - askedAt < ASK_AGAIN_NANOS) {
            return;
        }
        askedFor = version;
        askedAt = now;
        sendDigest(peer);
    }

    private void sendChanges(InetSocketAddress peer, long after) {
        Configuration current = keeper.current();
        ImmutableList<ChangeRecord> records = keeper.changeLog().after(after, MAX_PUSH);
        if (records.isEmpty() || records.get(0).version() != after + 1) {
            sendDigest(peer);
            return;
        }
        known.put(
                peer,
                Math.max(
                        known.getOrDefault(peer, 0L),
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
        known.put(peer, last);
        boolean risen = keeper.apply(push.getLineage(), records);
        boolean gap = last > keeper.current().version();
        if (gap || (risen && records.size() == MAX_PUSH)) {
            ask(peer);
        }
    }
}
