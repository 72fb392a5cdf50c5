package io.beryldock.soak;

import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The callers of one node: they send a request each period, whatever became of those before. Thread safe. */
final class CallerLoad {

    private static final int SMALL_BYTES = 200;

    /** More than one frame or buffer holds. */
    private static final int LARGE_BYTES = 60_000;

    private static final int LARGE_SHARE = 10;
    private static final int USES = 5;

    private final NodePlace place;
    private final Surroundings surroundings;
    private final Operators operators;
    private final SoakLedger ledger;
    private final SplittableRandom random;
    private final AtomicLong number = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();

    CallerLoad(
            NodePlace place,
            Surroundings surroundings,
            Operators operators,
            SoakLedger ledger,
            SplittableRandom random) {
        this.place = place;
        this.surroundings = surroundings;
        this.operators = operators;
        this.ledger = ledger;
        this.random = random;
    }

    TimerService.Subscription start(TimerService timers, Duration period) {
        return timers.every(period, () -> send(next()));
    }

    /** Requests that have no end yet. */
    int open() {
        return open.get();
    }

    /** Sends one request of each use with a key that holds; tells whether all were answered with success. */
    CompletableFuture<Boolean> trial() {
        String key = operators.newestKey();
        return send(new CallerRequest(id(), Use.ORDER, 0, key, "trial"))
                .thenCombine(
                        send(new CallerRequest(id(), Use.BROWSE, 0, key, "")),
                        (order, browse) ->
                                order.reply().isSuccess() && browse.reply().isSuccess());
    }

    private synchronized CallerRequest next() {
        return switch (random.nextInt(USES)) {
            case 0 -> CallerRequest.probe(id(), operators.anyVersion());
            case 1, 2 -> new CallerRequest(id(), Use.ORDER, 0, operators.anyKey(), body());
            default -> new CallerRequest(id(), Use.BROWSE, 0, operators.anyKey(), "");
        };
    }

    private String id() {
        return "c" + place.number() + "-" + number.incrementAndGet();
    }

    private String body() {
        int longest = random.nextInt(LARGE_SHARE) == 0 ? LARGE_BYTES : SMALL_BYTES;
        return "b".repeat(random.nextInt(longest));
    }

    private CompletableFuture<Surroundings.Outcome> send(CallerRequest request) {
        open.incrementAndGet();
        ledger.add(at -> new SoakEvent.Sent(at, place.number(), request));
        return surroundings.send(place, request).whenComplete((outcome, failure) -> {
            open.decrementAndGet();
            ledger.add(at -> new SoakEvent.Ended(at, request.id(), outcome.ending(), outcome.reply()));
        });
    }
}
