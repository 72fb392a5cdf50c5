package io.beryldock.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.ServiceName;
import io.beryldock.call.TreeCost;
import io.beryldock.credit.TreeKey;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;

/** Load pattern: a service beneath turns calls away whatever their number. */
final class TreeThrottleTest {

    private static final ServiceName QUOTES = ServiceName.of("quotes");
    private static final TreeKey QUOTE = new TreeKey("host/quote/", QUOTES);
    private static final TreeCost SINGLE = TreeCost.ofCall(QUOTES, 1_000);
    private static final TreeCost TREE = SINGLE.plus(TreeCost.ofCall(ServiceName.of("stock"), 1_000));
    private static final int RANK = 2;

    private final Random random = new Random(5);
    private final TreeThrottle throttle = TreeThrottle.create(random);

    /** The share of 400 trees that start when they end well with this chance at this share. */
    private double started(TreeCost cost, IntToDoubleFunction chance) {
        int started = 0;
        for (int i = 0; i < 400; i++) {
            if (throttle.admits(QUOTE, RANK)) {
                started++;
                throttle.ended(QUOTE, RANK, random.nextDouble() < chance.applyAsDouble(i), cost);
            }
        }
        return started / 400.0;
    }

    @Test
    void nearlyAllStartWhileMostEndWell() {
        assertThat(started(TREE, i -> 0.6)).isGreaterThan(0.9);
    }

    /** Guards against work on several levels for trees of which nearly none ends well. */
    @Test
    void fewStartWhileNearlyNoneEndsWell() {
        assertThat(started(TREE, i -> 0.02)).isLessThan(0.3);
    }

    /** Guards against a throttle that outlasts its cause: a hundred tries after it all trees start again. */
    @Test
    void allStartAgainSoonAfterTheTrouble() {
        started(TREE, i -> 0);
        started(TREE, i -> 1);
        assertThat(started(TREE, i -> 1)).isEqualTo(1);
    }

    /** Guards against requests held back although their failure wastes no work of others. */
    @Test
    void singleCallsAreNeverHeldBack() {
        assertThat(started(SINGLE, i -> 0.1)).isEqualTo(1);
    }
}
