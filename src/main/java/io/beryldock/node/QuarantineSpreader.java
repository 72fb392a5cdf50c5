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
 * Tells other nodes which requests crash targets.
 *
 * <p>A crash of this node's target goes at once to the nodes of the service, which may get its requests next. All
 * changes go to a few random nodes, which pass on what is news to them; now and then the whole table goes to one
 * node, in case a message was lost. Nothing is sent while no request is suspected. Its timers run on the
 * control thread; {@link #notifyNodes} and {@link #handle} are thread safe.
 */
final class QuarantineSpreader implements PeerHandler, CrashNotifier {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration EXPIRY_PERIOD = Duration.ofSeconds(5);

    /** Changes that come together go in one message. */
    private static final Duration GATHER = Duration.ofMillis(100);

    private static final Duration WHOLE_PERIOD = Duration.ofSeconds(10);
    private static final int FAN_OUT = 6;
    private static final int MAX_TOLD = 64;
    private static final Duration LONGEST_TELLING = Duration.ofMillis(300);

    private final Quarantine quarantine;
    private final Supplier<Directory> directory;
    private final NodeDescriptor self;
    private final PeerTransport transport;
    private final RandomGenerator random;

    QuarantineSpreader(
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
        quarantine.onFirstChange(() -> spreadSoon(timers));
        spreadSoon(timers);
        timers.every(WHOLE_PERIOD, () -> send(quarantine.export(), 1));
    }

    private void spreadSoon(TimerService timers) {
        timers.after(GATHER, () -> send(quarantine.takeChanges(), FAN_OUT));
    }

    @Override
    public CompletableFuture<Void> notifyNodes(ServiceName service, QuarantineDelta news) {
        ByteString body = news.toByteString();
        Directory known = directory.get();
        Stream<NodeDescriptor> ofService = known.targetsOf(service).stream().map(TargetRecord::node);
        // The others too as far as there is room: a target that has just announced itself is not known everywhere.
        return CompletableFuture.allOf(Stream.concat(ofService, known.nodes().values().stream())
                .distinct()
                .filter(node -> !node.equals(self))
                .limit(MAX_TOLD)
                .map(node -> notifyNodes(node, body))
                .toArray(CompletableFuture[]::new));
    }

    private CompletableFuture<Void> notifyNodes(NodeDescriptor node, ByteString news) {
        return transport
                .request(node.peerAddress(), PeerTopic.QUARANTINE, news, LONGEST_TELLING)
                .handle((reply, failure) -> {
                    if (failure != null) {
                        log.atInfo().withCause(failure).log(
                                "node %s was not told of a crash; the news reach it later", node.id());
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
