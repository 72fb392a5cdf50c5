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

/** Seeded runs with faults on real sockets: the faults replay from the seed, how the bytes interleave doesn't. */
class PeerTransportRandomFaultsTest {

    private static final List<Fault> FAULTS = List.of(Fault.NONE, Fault.LOSE, Fault.FREEZE);
    private static final int STEPS = 250;
    private static final Duration BOUND = Duration.ofSeconds(20);

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, CompletableFuture<ByteString>> asked = new HashMap<>();

    /**
     * Orders run twice or after they were refused. Connections are cut, frozen and made deaf in each direction while
     * requests and cancellations go on. Each request ends once; none runs twice; one that was not sent never ran; an
     * answer belongs to its request.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void outcomesStayTrueUnderFaults(long seed) throws Exception {
        Random random = new Random(seed);
        try (PeerPair pair = PeerPair.start()) {
            pair.b.handle(PeerTopic.TICKETS, message -> run(message, pair));
            for (int i = 0; i < STEPS; i++) {
                step(pair, random, "seed " + seed + " request " + i);
            }
            pair.relay.spoilForth(Fault.NONE);
            pair.relay.spoilBack(Fault.NONE);
            pair.advanceUntil(() -> allEnded(pair), BOUND);
            for (Map.Entry<String, CompletableFuture<ByteString>> request : asked.entrySet()) {
                check(request.getKey(), request.getValue());
            }
        }
    }

    /**
     * Whether all requests have ended, once what is held was replied to.
     *
     * <p>A request may come out of the relay only now, after the last reply of the steps. Replied to but once before
     * the wait, it would be held for ever and look like one that the transport forgot.
     */
    private boolean allEnded(PeerPair pair) {
        pair.held.forEach(message -> message.reply(message.body()));
        return asked.values().stream().allMatch(CompletableFuture::isDone);
    }

    private void run(PeerHandler.PeerMessage message, PeerPair pair) {
        String name = message.body().toStringUtf8();
        runs.merge(name, 1, Integer::sum);
        if (name.endsWith("3")) {
            pair.held.add(message);
        } else {
            message.reply(message.body());
        }
    }

    private void step(PeerPair pair, Random random, String name) {
        asked.put(name, pair.ask(PeerTopic.TICKETS, name));
        switch (random.nextInt(24)) {
            case 0 -> pair.relay.spoilForth(fault(random));
            case 1 -> pair.relay.spoilBack(fault(random));
            case 2 -> pair.relay.cut();
            case 3 -> asked.get(name).cancel(false);
            case 4, 5, 6 -> pair.held.forEach(message -> message.reply(message.body()));
            case 7 -> pair.advance(Duration.ofMillis(random.nextInt(3000)));
            default -> pair.advance(Duration.ofMillis(random.nextInt(100)));
        }
    }

    private static Fault fault(Random random) {
        return FAULTS.get(random.nextInt(FAULTS.size()));
    }

    private void check(String name, CompletableFuture<ByteString> reply) throws Exception {
        int ran = runs.getOrDefault(name, 0);
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
