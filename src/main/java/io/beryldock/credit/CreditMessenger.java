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

/** Brings questions on credits to other nodes and remembers which of them do not answer. Thread safe. */
final class CreditMessenger {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    /** Nodes of a data centre that may be a service's home. */
    private static final int HOMES = 2;

    /** How long a home that did not answer is passed over: longer than the directory keeps a lost node. */
    private static final Duration PASSED_OVER = Duration.ofSeconds(5);

    private final CreditPeers peers;
    private final SilentNodes silent;

    CreditMessenger(CreditPeers peers, Ticker ticker) {
        this.peers = peers;
        this.silent = SilentNodes.create(ticker, PASSED_OVER);
    }

    /** The home of the service in this data centre, if one answers. */
    Optional<NodeId> home(ServiceName service) {
        return peers.homes(service).stream()
                .limit(HOMES)
                .filter(node -> !silent.contains(node))
                .findFirst();
    }

    /** Nodes of this data centre, each of which may ask the home of the service. */
    int nodes(ServiceName service) {
        return peers.homes(service).size();
    }

    /** Asks the node, this one through {@code own}; the future fails when no answer comes within the limit. */
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
                        passOver(node, failure);
                    }
                });
    }

    private static CreditAnswer readAnswer(ByteString body) {
        try {
            return CreditAnswer.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the answer on credits is malformed", e);
        }
    }

    private void passOver(NodeId node, Throwable failure) {
        silent.add(node);
        log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                "node %s does not answer on credits and is passed over: %s", node, failure);
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

    /** A rank that this build does not know is the least important one. */
    private static int rank(int told) {
        return told < 0 || told > PriorityClass.LOWEST_RANK ? PriorityClass.LOWEST_RANK : told;
    }
}
