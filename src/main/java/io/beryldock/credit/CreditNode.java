package io.beryldock.credit;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.share.Division;
import io.beryldock.time.TimerService;
import io.beryldock.wire.CreditQuestion;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Credit components of one node: as entry, gate and home. Thread safe. */
public final class CreditNode {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    private final CreditIssuer issuer;
    private final EntryCredits entryCredits;
    private final GateReporter reporter;

    private CreditNode(Ports ports) {
        boolean enabled = ports.settings().enabled();
        CreditMessenger messenger =
                new CreditMessenger(ports.peers(), ports.timers().ticker());
        this.issuer = new CreditIssuer(enabled, ports.peers(), messenger, ports.division(), ports.timers());
        this.entryCredits =
                new EntryCredits(enabled, messenger, issuer, ports.timers().ticker());
        this.reporter = new GateReporter(enabled, ports.timers(), ports.gate(), GateReporter.sender(messenger, issuer));
    }

    /**
     * Dependencies of the credit components.
     *
     * @param settings when they disable credits, the node sends no questions or reports, and no tree requires credits
     * @param gate load of the target in this VM, if there is one
     */
    public record Ports(
            CreditSettings settings,
            CreditPeers peers,
            TimerService timers,
            Division<Party> division,
            Supplier<Optional<GateLoad>> gate) {}

    public static CreditNode create(Ports ports) {
        return new CreditNode(ports);
    }

    public EntryCredits entryCredits() {
        return entryCredits;
    }

    public GateReporter reporter() {
        return reporter;
    }

    /** Handles a credit question from another node. */
    public void onMessage(NodeId sender, ByteString body, Consumer<ByteString> reply) {
        try {
            issuer.answer(sender, CreditQuestion.parseFrom(body))
                    .thenAccept(answer -> reply.accept(answer.toByteString()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            log.atWarning().withCause(e).atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "malformed credit question from node %s", sender);
        }
    }

    public CreditSnapshot snapshot() {
        return new CreditSnapshot(entryCredits.snapshot(), issuer.snapshot());
    }
}
