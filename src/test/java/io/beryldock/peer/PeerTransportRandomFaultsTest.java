package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.peer.FaultyRelay.Fault;
import io.beryldock.peer.PeerException.Kind;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Injects random faults on real sockets. The seed reproduces the faults, but not the interleaving of the bytes. */
class PeerTransportRandomFaultsTest {

    private static final List<Fault> FAULTS = List.of(Fault.NONE, Fault.LOSE, Fault.FREEZE);
    private static final int STEPS = 250;
    private static final Duration BOUND = Duration.ofSeconds(20);

    private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
    private final Map<String, CompletableFuture<ByteString>> requests = new HashMap<>();

    /**
     * Guards against requests that run twice, or that run although they failed as not sent. Connections are closed, and
     * their bytes are discarded or held back in each direction, while requests and cancellations continue. Each request
     * must end, none may run twice, a request that failed as not sent must not have run, and a reply must belong to its
     * request.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void outcomesAreCorrectUnderRandomFaults(long seed) throws Exception {
        Random random = new Random(seed);
        try (PeerPair pair = PeerPair.start()) {
            pair.b.registerHandler(PeerTopic.TICKETS, message -> run(message, pair));
            for (int i = 0; i < STEPS; i++) {
                step(pair, random, "seed " + seed + " request " + i);
            }
            pair.relay.setForwardFault(Fault.NONE);
            pair.relay.setBackwardFault(Fault.NONE);
            pair.advanceUntil(() -> allEnded(pair), BOUND);
            for (Map.Entry<String, CompletableFuture<ByteString>> request : requests.entrySet()) {
                checkOutcome(request.getKey(), request.getValue());
            }
        }
    }

    /**
     * Replies to all held requests and returns whether all requests have ended.
     *
     * <p>The replies are repeated at each call, because a request may leave the relay only after the last step. If the
     * test replied only once before the wait, that request would be held forever and would look as if the transport had
     * lost it.
     */
    private boolean allEnded(PeerPair pair) {
        pair.held.forEach(message -> message.reply(message.body()));
        return requests.values().stream().allMatch(CompletableFuture::isDone);
    }

    private void run(PeerHandler.PeerMessage message, PeerPair pair) {
        String name = message.body().toStringUtf8();
        runCounts.merge(name, 1, Integer::sum);
        if (name.endsWith("3")) {
            pair.held.add(message);
        } else {
            message.reply(message.body());
        }
    }

    private void step(PeerPair pair, Random random, String name) {
        requests.put(name, pair.request(PeerTopic.TICKETS, name));
        switch (random.nextInt(24)) {
            case 0 -> pair.relay.setForwardFault(randomFault(random));
            case 1 -> pair.relay.setBackwardFault(randomFault(random));
            case 2 -> pair.relay.closeConnections();
            case 3 -> requests.get(name).cancel(false);
            case 4, 5, 6 -> pair.held.forEach(message -> message.reply(message.body()));
            case 7 -> pair.advance(Duration.ofMillis(random.nextInt(3000)));
            default -> pair.advance(Duration.ofMillis(random.nextInt(100)));
        }
    }

    private static Fault randomFault(Random random) {
        return FAULTS.get(random.nextInt(FAULTS.size()));
    }

    private void checkOutcome(String name, CompletableFuture<ByteString> reply) throws Exception {
        int ran = runCounts.getOrDefault(name, 0);
        assertThat(ran).as(name).isLessThanOrEqualTo(1);
        if (reply.isCancelled()) {
            return;
        }
        if (reply.isCompletedExceptionally()) {
            assertThat(PeerPair.failure(reply) == Kind.NOT_SENT && ran > 0)
                    .as(name)
                    .isFalse();
        } else {
            assertThat(PeerPair.get(reply)).isEqualTo(name);
            assertThat(ran).as(name).isEqualTo(1);
        }
    }
}
