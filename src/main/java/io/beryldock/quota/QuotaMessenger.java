package io.beryldock.quota;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.peer.SilentNodes;
import io.beryldock.time.Ticker;
import io.beryldock.wire.QuotaAnswer;
import io.beryldock.wire.QuotaQuestion;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Sends quota questions to other nodes and remembers which of them do not answer. Thread safe.
 *
 * <p>Silent nodes are skipped because otherwise each request would wait for the whole timeout of a question to an
 * unreachable home node.
 */
final class QuotaMessenger {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    /** Time for which a node that did not answer is skipped: longer than most restarts. */
    private static final Duration SKIP_PERIOD = Duration.ofSeconds(5);

    private final QuotaPeers peers;
    private final SilentNodes silent;

    QuotaMessenger(QuotaPeers peers, Ticker ticker) {
        this.peers = peers;
        this.silent = SilentNodes.create(ticker, SKIP_PERIOD);
    }

    /**
     * Sends the question to the node, or passes it to {@code own} if the node is this one. The future fails when no
     * answer arrives within the limit.
     */
    CompletableFuture<QuotaAnswer> ask(
            NodeId node,
            QuotaQuestion question,
            Duration limit,
            Function<QuotaQuestion, CompletableFuture<QuotaAnswer>> own) {
        if (node.equals(peers.self())) {
            return own.apply(question);
        }
        return peers.ask(node, question.toByteString(), limit).thenApply(QuotaMessenger::readAnswer);
    }

    private static QuotaAnswer readAnswer(ByteString body) {
        try {
            return QuotaAnswer.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("malformed quota answer", e);
        }
    }

    boolean isSilent(NodeId node) {
        return silent.contains(node);
    }

    /** Skips the node for some time, after it did not answer a question. */
    void skip(NodeId node) {
        silent.add(node);
        log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                "quota question to node %s failed; skipping it as a home node for now", node);
    }
}
