package io.beryldock.retry;

import com.google.common.cache.CacheBuilder;
import com.google.common.cache.CacheLoader;
import com.google.common.cache.LoadingCache;
import io.beryldock.call.ServiceName;
import io.beryldock.time.Ticker;
import java.util.function.Function;

/**
 * The retry budgets of one node: one for each pair of calling and called service, or one for each called service.
 *
 * <p>Holds at most {@value #MAX_PAIRS} budgets. The least recently used one is evicted, and a later call creates a new
 * one that holds only its floor. Thread safe.
 */
public final class RetryBudgets {

    static final int MAX_PAIRS = 10_000;

    private final LoadingCache<Pair, RetryBudget> budgets;
    private final boolean byCallee;

    private RetryBudgets(Function<ServiceName, RetryBudget> create, boolean byCallee) {
        this.budgets = CacheBuilder.newBuilder()
                .maximumSize(MAX_PAIRS)
                .build(CacheLoader.from(pair -> create.apply(pair.callee())));
        this.byCallee = byCallee;
    }

    /** Creates budgets for pairs of services; the settings of the callee are read when a pair is first used. */
    public static RetryBudgets create(Ticker ticker, Function<ServiceName, RetryBudgetSettings> settings) {
        return new RetryBudgets(callee -> TokenRetryBudget.create(ticker, settings.apply(callee)), false);
    }

    /** Creates one budget for each called service, shared by all callers at this node. */
    public static RetryBudgets ofCallees(Function<ServiceName, RetryBudget> create) {
        return new RetryBudgets(create, true);
    }

    public RetryBudget of(ServiceName caller, ServiceName callee) {
        return budgets.getUnchecked(new Pair(byCallee ? callee : caller, callee));
    }

    /** Discards all budgets, so that changed settings take effect. */
    public void reset() {
        budgets.invalidateAll();
    }

    private record Pair(ServiceName caller, ServiceName callee) {

        // Written by hand: the generated equals of a record is an invokedynamic call, which the C1 compiler used by
        // nodes does not inline.
        @Override
        public boolean equals(Object other) {
            return other instanceof Pair that && callee.equals(that.callee) && caller.equals(that.caller);
        }

        @Override
        public int hashCode() {
            return 31 * caller.hashCode() + callee.hashCode();
        }
    }
}
