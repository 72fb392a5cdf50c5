package io.beryldock.node;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.PeerHandler;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.time.TimerService;
import io.beryldock.wire.QuarantineDelta;
import java.time.Duration;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Tells other nodes which requests crash targets.
 *
 * <p>Changes go to a few random nodes, which pass on what is news to them; now and then the whole table goes to one
 * node, in case a message was lost. Nothing is sent while no request is suspected. Runs on the control thread.
 */
final class QuarantineSpreader implements PeerHandler {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration EXPIRY_PERIOD = Duration.ofSeconds(5);

    /** Changes that come together go in one message. */
    private static final Duration GATHER = Duration.ofMillis(100);

    private static final Duration WHOLE_PERIOD = Duration.ofSeconds(10);
    private static final int FAN_OUT = 6;

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
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            log.atWarning().withCause(e).log(
                    "node %s sent a malformed table of quarantined requests", message.sender());
        }
    }
}
