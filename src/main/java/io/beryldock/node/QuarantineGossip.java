package io.beryldock.node;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.ServiceName;
import io.beryldock.forwarding.CrashNotifier;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.peer.PeerHandler;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.time.TimerService;
import io.beryldock.wire.QuarantineDelta;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Propagates the quarantine table, the requests that crash targets, to other nodes by gossip.
 *
 * <p>A crash of this node's target is reported immediately to the nodes of the same service, because they may receive
 * its requests next. Changes of the table are sent to a few random nodes, which forward the changes that are new to
 * them. Periodically the whole table is sent to one random node, to make up for lost messages. Nothing is sent while
 * no request is suspected.
 *
 * <p>Timers run on the control thread. Crash reports and received messages may come from any thread.
 */
final class QuarantineGossip implements PeerHandler, CrashNotifier {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration EXPIRY_PERIOD = Duration.ofSeconds(5);

    /** Delay that combines changes into one message. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(100);

    private static final Duration FULL_SYNC_PERIOD = Duration.ofSeconds(10);
    private static final int FAN_OUT = 6;
    private static final int MAX_REPORTED_NODES = 64;
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(300);

    private final Quarantine quarantine;
    private final Supplier<Directory> directory;
    private final NodeDescriptor self;
    private final PeerTransport transport;
    private final RandomGenerator random;

    QuarantineGossip(
            Quarantine quarantine,
            Supplier<Directory> directory,
            NodeDescriptor self,
            PeerTransport transport,
            RandomGenerator random) {
        this.quarantine = quarantine;
        this.directory = directory;
        this.self = self;
        this.transport = transport;
        this.random = random;
    }

    void start(TimerService timers) {
        timers.every(EXPIRY_PERIOD, quarantine::expire);
        quarantine.onFirstChange(() -> scheduleChanges(timers));
        scheduleChanges(timers);
        timers.every(FULL_SYNC_PERIOD, () -> send(quarantine.export(), 1));
    }

    private void scheduleChanges(TimerService timers) {
        timers.after(BATCH_DELAY, () -> send(quarantine.takeChanges(), FAN_OUT));
    }

    @Override
    public CompletableFuture<Void> notifyNodes(ServiceName service, QuarantineDelta delta) {
        ByteString body = delta.toByteString();
        Directory current = directory.get();
        Stream<NodeDescriptor> ofService = current.targetsOf(service).stream().map(TargetRecord::node);
        // Other nodes are included up to the limit, because a newly announced target is not known everywhere yet.
        return CompletableFuture.allOf(Stream.concat(ofService, current.nodes().values().stream())
                .distinct()
                .filter(node -> !node.equals(self))
                .limit(MAX_REPORTED_NODES)
                .map(node -> report(node, body))
                .toArray(CompletableFuture[]::new));
    }

    private CompletableFuture<Void> report(NodeDescriptor node, ByteString body) {
        return transport
                .request(node.peerAddress(), PeerTopic.QUARANTINE, body, REPORT_TIMEOUT)
                .handle((reply, failure) -> {
                    if (failure != null) {
                        log.atInfo().withCause(failure).log(
                                "the crash report to node %s failed; gossip will deliver it later", node.id());
                    }
                    return null;
                });
    }

    private void send(QuarantineDelta delta, int fanOut) {
        if (delta.getEntriesCount() == 0) {
            return;
        }
        for (NodeDescriptor node : directory.get().randomOthers(self.id(), fanOut, random)) {
            transport.send(node.peerAddress(), PeerTopic.QUARANTINE, delta.toByteString());
        }
    }

    @Override
    public void handle(PeerMessage message) {
        try {
            quarantine.merge(QuarantineDelta.parseFrom(message.body()));
            message.reply(ByteString.EMPTY);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            log.atWarning().withCause(e).log(
                    "node %s sent a malformed table of quarantined requests", message.sender());
            message.reply(ByteString.EMPTY);
        }
    }
}
