package io.beryldock.logging;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class DecisionLogTest {

    private final AtomicLong now = new AtomicLong();
    private final AtomicInteger made = new AtomicInteger();
    private final DecisionLog decisions = DecisionLog.create(now::get);

    private void addMany() {
        for (int i = 0; i < 3 * DecisionLog.LINES_PER_SECOND; i++) {
            decisions.add(() -> {
                made.incrementAndGet();
                return new DecisionLine(ImmutableMap.of());
            });
        }
    }

    /** Guards against a node that spends its time in overload on telling of it. */
    @Test
    void noMoreLinesAreMadeInASecondThanItsBound() {
        addMany();
        assertThat(made).hasValue(DecisionLog.LINES_PER_SECOND);
    }

    @Test
    void theNextSecondHasItsOwnLines() {
        addMany();
        now.addAndGet(TimeUnit.SECONDS.toNanos(1));
        addMany();
        assertThat(made).hasValue(2 * DecisionLog.LINES_PER_SECOND);
    }
}
