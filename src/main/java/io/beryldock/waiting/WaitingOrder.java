package io.beryldock.waiting;

import java.util.Comparator;
import java.util.function.ToLongFunction;

/** Order in which lines are offered credits. */
@FunctionalInterface
interface WaitingOrder {

    /**
     * Returns a comparator of lines; the first line in order is offered credits first.
     *
     * @param served slot time that was recently granted to the organisation of a line
     */
    Comparator<WaitingLine> comparing(ToLongFunction<WaitingLine> served);

    /** Orders by rank, then lane, then least slot time granted to the organisation, then earliest arrival. */
    static WaitingOrder fair() {
        return served -> Comparator.<WaitingLine>comparingInt(
                        line -> line.claimant().rank())
                .thenComparing(WaitingLine::lane)
                .thenComparingLong(served)
                .thenComparingLong(WaitingLine::firstOrder);
    }
}
