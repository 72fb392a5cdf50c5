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
 * Brings questions on quotas to other nodes and remembers which of them do not answer. Thread safe.
 *
 * <p>Guards against requests that wait for a home that is cut off: each would wait for the whole limit of a question.
 */
final class QuotaMessenger {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    /** How long a node that did not answer is passed over: longer than most restarts. */
    private static final Duration PASSED_OVER = Duration.ofSeconds(5);

    private final QuotaPeers peers;
    private final SilentNodes silent;

    QuotaMessenger(QuotaPeers peers, Ticker ticker) {
        this.peers = peers;
        this.silent = SilentNodes.create(ticker, PASSED_OVER);
    }

    /** Asks the node, this one through {@code own}; the future fails when no answer comes within the limit. */
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
            throw new IllegalArgumentException("the answer on a quota is malformed", e);
        }
    }

    boolean isSilent(NodeId node) {
        return silent.contains(node);
    }

    /** The node did not answer in time. */
    void passOver(NodeId node) {
        silent.add(node);
        log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                "node %s does not answer on quotas and is passed over", node);
    }
}
