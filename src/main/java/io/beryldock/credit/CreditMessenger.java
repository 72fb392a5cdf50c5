package io.beryldock.credit;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceName;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.peer.SilentNodes;
import io.beryldock.time.Ticker;
import io.beryldock.wire.CreditAnswer;
import io.beryldock.wire.CreditClaim;
import io.beryldock.wire.CreditQuestion;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Sends credit questions to other nodes and remembers which of them do not answer. Thread safe. */
final class CreditMessenger {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    /** Number of nodes per data centre that may act as home node of a service. */
    private static final int MAX_HOMES = 2;

    /** Time for which a home node that did not answer is skipped: longer than the directory keeps a lost node. */
    private static final Duration SKIP_PERIOD = Duration.ofSeconds(5);

    private final CreditPeers peers;
    private final SilentNodes silent;

    CreditMessenger(CreditPeers peers, Ticker ticker) {
        this.peers = peers;
        this.silent = SilentNodes.create(ticker, SKIP_PERIOD);
    }

    /** Home node of the service in this data centre: the first candidate that is not skipped. */
    Optional<NodeId> home(ServiceName service) {
        return peers.homes(service).stream()
                .limit(MAX_HOMES)
                .filter(node -> !silent.contains(node))
                .findFirst();
    }

    /** Number of nodes in this data centre, each of which may ask the home node of the service. */
    int nodes(ServiceName service) {
        return peers.homes(service).size();
    }

    /**
     * Sends the question to the node, or passes it to {@code own} if the node is this one. The future fails when no
     * answer arrives within the limit.
     */
    CompletableFuture<CreditAnswer> ask(
            NodeId node,
            CreditQuestion question,
            Duration limit,
            Function<CreditQuestion, CompletableFuture<CreditAnswer>> own) {
        if (node.equals(peers.self())) {
            return own.apply(question);
        }
        return peers.ask(node, question.toByteString(), limit)
                .thenApply(CreditMessenger::readAnswer)
                .whenComplete((answer, failure) -> {
                    if (failure != null) {
                        skip(node, failure);
                    }
                });
    }

    private static CreditAnswer readAnswer(ByteString body) {
        try {
            return CreditAnswer.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("malformed credit answer", e);
        }
    }

    private void skip(NodeId node, Throwable failure) {
        silent.add(node);
        log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                "credit question to node %s failed; skipping it as a home node for now: %s", node, failure);
    }

    static CreditClaim encode(Claimant claimant, long wanted) {
        return CreditClaim.newBuilder()
                .setRank(claimant.rank())
                .setOrganisation(
                        claimant.organisation().map(OrganisationName::value).orElse(""))
                .setWanted(wanted)
                .build();
    }

    static Claimant claimant(CreditClaim claim) {
        Optional<OrganisationName> organisation = Optional.of(claim.getOrganisation())
                .filter(name -> !name.isEmpty())
                .map(OrganisationName::of);
        return new Claimant(rank(claim.getRank()), organisation);
    }

    /** Maps a rank that this build does not know to the least important one. */
    private static int rank(int encoded) {
        return encoded < 0 || encoded > PriorityClass.LOWEST_RANK ? PriorityClass.LOWEST_RANK : encoded;
    }
}
