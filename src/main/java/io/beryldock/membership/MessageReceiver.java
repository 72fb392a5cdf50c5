package io.beryldock.membership;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.wire.MembershipMessage;
import io.beryldock.wire.MembershipRecord;
import java.util.concurrent.TimeUnit;

/**
 * Decodes membership messages and dispatches them to the components concerned.
 *
 * <p>Invariant: the records of a message are merged before the rest of the message is processed. Confined to the
 * control thread.
 */
final class MessageReceiver {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final MembershipContext context;
    private final RecordMerger merger;
    private final IndirectProber indirect;
    private final AntiEntropy antiEntropy;
    private final LinkReports reports;
    private final PeerFinder finder;
    private final MembershipCodec codec = MembershipCodec.create();
    private long messages;
    private long bytes;

    MessageReceiver(
            MembershipContext context,
            RecordMerger merger,
            IndirectProber indirect,
            AntiEntropy antiEntropy,
            LinkReports reports,
            PeerFinder finder) {
        this.context = context;
        this.merger = merger;
        this.indirect = indirect;
        this.antiEntropy = antiEntropy;
        this.reports = reports;
        this.finder = finder;
    }

    void onMessage(NodeId sender, ByteString body) {
        messages++;
        bytes += body.size();
        try {
            MembershipMessage message = MembershipMessage.parseFrom(body);
            for (MembershipRecord wire : message.getRecordsList()) {
                merger.accept(codec.decode(wire), sender);
            }
            dispatch(sender, message);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            log.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
                    "dropped malformed membership message from %s; check that both nodes run the same version", sender);
        }
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }

    private void dispatch(NodeId sender, MembershipMessage message) {
        switch (message.getKindCase()) {
            case PING -> onPing(sender, message);
            case ACK -> onAck(sender, message);
            case PROBE_REQUEST -> indirect.onRequest(sender, message.getProbeRequest());
            case PROBE_REPORT -> indirect.onReport(message.getProbeReport());
            case SYNC_OFFER -> antiEntropy.onOffer(sender, message.getSyncOffer());
            case SYNC_BUCKETS -> antiEntropy.onBuckets(sender, message.getSyncBuckets());
            case SYNC_PULL -> antiEntropy.onPull(sender, message.getSyncPull());
            case SYNC_WANTED -> antiEntropy.onWanted(sender, message.getSyncWanted());
            case LINK_REPORT -> reports.onReport(sender, message.getLinkReport());
            default -> {}
        }
    }

    private void onPing(NodeId sender, MembershipMessage message) {
        context.neighbours().onPing(sender, context.now());
        context.prober().onPing(sender, message);
        compareDigests(sender, message);
    }

    private void onAck(NodeId sender, MembershipMessage message) {
        context.prober().onAck(sender, message);
        finder.onAck();
        compareDigests(sender, message);
    }

    /**
     * Compares the sender's digest with that of this node; the view of a node that has not joined yet is incomplete and
     * is not compared.
     */
    private void compareDigests(NodeId sender, MembershipMessage message) {
        if (!message.getJoining()) {
            context.joiningNodes().remove(sender);
            antiEntropy.onRoot(sender, message.getRoot());
        }
    }
}
