package io.beryldock.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.time.Ticker;
import java.time.Duration;

/**
 * Sees when a node, or this process in which all proxies run, does not get to run for a while.
 *
 * <p>Looked at by one thread. Between nodes a link is given up after 300 ms of silence while a call is under way,
 * which a host with more to do than it can does bring about; no fault of the plan and no stop is to blame then.
 */
final class HoldUpWatch {

    static final Duration PERIOD = Duration.ofMillis(100);

    /** With the period it stays within the silence after which links are given up. */
    private static final long LIMIT_NANOS = Duration.ofMillis(150).toNanos();

    private final ImmutableList<SoakPlace> places;
    private final Surroundings surroundings;
    private final SoakLedger ledger;
    private final Ticker ticker;
    private final ImmutableSet<Integer> all;
    private long looked;

    HoldUpWatch(ImmutableList<SoakPlace> places, Surroundings surroundings, SoakLedger ledger, Ticker ticker) {
        this.places = places;
        this.surroundings = surroundings;
        this.ledger = ledger;
        this.ticker = ticker;
        this.all = places.stream().map(SoakPlace::number).collect(ImmutableSet.toImmutableSet());
        this.looked = ticker.nanos();
    }

    /** Called each {@link #PERIOD}. */
    void look() {
        long now = ticker.nanos();
        judge(now - looked - PERIOD.toNanos(), all);
        looked = now;
        for (SoakPlace place : places) {
            surroundings.askReadiness(place.readiness()).whenComplete((answered, failure) -> {
                // Without an answer the node is down or stops, of which the plan knows, or was held up for long.
                judge(ticker.nanos() - now, ImmutableSet.of(place.number()));
            });
        }
    }

    private void judge(long lateNanos, ImmutableSet<Integer> nodes) {
        if (lateNanos > LIMIT_NANOS) {
            ledger.add(at -> new SoakEvent.HeldUp(at, nodes));
        }
    }
}
