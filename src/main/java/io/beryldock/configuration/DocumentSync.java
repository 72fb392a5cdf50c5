package io.beryldock.configuration;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.store.RegistryStore;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.store.StoreFollower;
import io.beryldock.store.StoreRecovery;
import io.beryldock.time.TimerService;
import io.beryldock.wire.DocumentNotice;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps this node at the operators' newest document: from the store, and from peers when the store turns this node
 * away or its watch has gone silent.
 *
 * <p>Control thread only. Invariants: the version in force never falls in one life of the process; what peers tell is
 * decoded and checked like what the store tells. News goes to {@link #FAN_OUT} random nodes; each second one random
 * node is asked whether it holds other news, which bounds how long a node without the store stays behind.
 */
public final class DocumentSync {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Longest wait of one watch. While one has gone silent the node hears of a change from the others. */
    private static final Duration WATCH = Duration.ofSeconds(10);

    /** Pause between two watches; a document is replaced seldom, and late news of it costs more than a call. */
    private static final Duration GATHER = Duration.ofMillis(20);

    private static final Duration GOSSIP = Duration.ofSeconds(1);
    private static final int FAN_OUT = 3;

    private final NodeDescriptor self;
    private final Ports ports;
    private ByteString document = ByteString.EMPTY;

    private DocumentSync(NodeDescriptor self, Ports ports) {
        this.self = self;
        this.ports = ports;
    }

    /**
     * What the synchronisation works with.
     *
     * @param key under which the store holds the document
     * @param sender sends a message to a node, which may be lost
     */
    public record Ports(
            ConfigurationKeeper keeper,
            RegistryStore store,
            StoreRecovery recovery,
            String key,
            DocumentDecoder decoder,
            BiConsumer<InetSocketAddress, ByteString> sender,
            Supplier<Directory> directory,
            TimerService timers,
            RandomGenerator random) {}

    public static DocumentSync create(NodeDescriptor self, Ports ports) {
        return new DocumentSync(self, ports);
    }

    /** Reads the document and follows it. */
    public void start() {
        StoreFollower follower = StoreFollower.create(
                ports.store(), ports.key(), WATCH, GATHER, ports.timers(), ports.random(), new DocumentListener());
        follower.start();
        ports.recovery().subscribe(follower::refresh);
        ports.timers().every(GOSSIP, () -> sendToSome(1, notice(ByteString.EMPTY)));
    }

    /** Takes a message of another node. */
    public void onMessage(NodeId sender, ByteString body) {
        DocumentNotice notice;
        try {
            notice = DocumentNotice.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            log.atWarning().withCause(e).log("node %s sent a malformed notice of a document", sender);
            return;
        }
        if (!notice.getDocument().isEmpty()) {
            take(notice.getDocument());
        } else if (notice.getVersion() != version()) {
            boolean behind = notice.getVersion() < version();
            ports.directory()
                    .get()
                    .node(sender)
                    .ifPresent(node -> send(node, notice(behind ? document : ByteString.EMPTY)));
        }
    }

    private long version() {
        return ports.keeper().current().version();
    }

    private void take(ByteString found) {
        Configuration next;
        try {
            next = ports.decoder().decode(found);
        } catch (ConfigurationException e) {
            log.atWarning().withCause(e).log("a document of the operators can't be read and is passed over");
            return;
        }
        if (ports.keeper().take(next, List.of())) {
            document = found;
            sendToSome(FAN_OUT, notice(document));
        }
    }

    private DocumentNotice notice(ByteString content) {
        return DocumentNotice.newBuilder()
                .setVersion(version())
                .setDocument(content)
                .build();
    }

    private void sendToSome(int number, DocumentNotice notice) {
        ports.directory().get().randomOthers(self.id(), number, ports.random()).forEach(node -> send(node, notice));
    }

    private void send(NodeDescriptor node, DocumentNotice notice) {
        ports.sender().accept(node.peerAddress(), notice.toByteString());
    }

    /** Takes in what the store tells. */
    private final class DocumentListener implements StoreFollower.Listener {

        @Override
        public void onListing(Listing listing) {
            listing.entries().forEach(this::onChange);
        }

        @Override
        public void onChange(Entry entry) {
            if (entry.key().equals(ports.key())) {
                entry.value().ifPresent(DocumentSync.this::take);
            }
        }

        @Override
        public void onStore(boolean reachable) {
            // The membership follows the same store and records when it is lost and regained.
        }
    }
}
