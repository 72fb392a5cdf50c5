package io.beryldock.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.time.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * Puts what is seen in one order, shows it to the checks and counts it.
 *
 * <p>Thread safe: one lock, under which checks run. Each event gets its time under the lock, so that times rise.
 */
final class SoakLedger {

    /** Broken promises that are told; more of them tell nothing new. */
    private static final int MAX_TOLD = 50;

    private final Ticker ticker;
    private final ImmutableList<PromiseCheck> checks;
    private final Consumer<String> onBroken;

    @GuardedBy("this")
    private final List<String> broken = new ArrayList<>();

    @GuardedBy("this")
    private final TreeMap<String, Long> counts = new TreeMap<>();

    SoakLedger(Ticker ticker, ImmutableList<PromiseCheck> checks, Consumer<String> onBroken) {
        this.ticker = ticker;
        this.checks = checks;
        this.onBroken = onBroken;
    }

    /** Takes what was just seen, made with the time that it is given. */
    synchronized void add(LongFunction<SoakEvent> seen) {
        SoakEvent event = seen.apply(ticker.nanos());
        counts.merge(label(event), 1L, Long::sum);
        checks.forEach(check -> check.on(event, text -> tell(check, text)));
    }

    private void tell(PromiseCheck check, String text) {
        synchronized (this) {
            if (broken.size() < MAX_TOLD) {
                String told = check.getClass().getSimpleName() + ": " + text;
                broken.add(told);
                onBroken.accept(told);
            }
        }
    }

    private static String label(SoakEvent event) {
        if (event instanceof SoakEvent.Sent sent) {
            return "sent " + sent.request().use();
        }
        if (event instanceof SoakEvent.Ended ended) {
            return ended.ending() == SoakEvent.Ending.ANSWERED
                    ? "answered " + ended.reply().status()
                    : "ended " + ended.ending();
        }
        return event.getClass().getSimpleName();
    }

    /** Asks a check, under the lock that guards it. */
    synchronized boolean ask(BooleanSupplier question) {
        return question.getAsBoolean();
    }

    synchronized ImmutableList<String> broken() {
        return ImmutableList.copyOf(broken);
    }

    /** What was counted, by kind of event. */
    synchronized ImmutableSortedMap<String, Long> counts() {
        return ImmutableSortedMap.copyOfSorted(counts);
    }
}
