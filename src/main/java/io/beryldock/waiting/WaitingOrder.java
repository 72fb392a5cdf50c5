package io.beryldock.waiting;

import java.util.Comparator;
import java.util.function.ToLongFunction;

/** In which order lines are offered credits. */
@FunctionalInterface
interface WaitingOrder {

    /**
     * Compares two lines; the first in order is offered credits first.
     *
     * @param served slot time that the organisation of a line was given of late
     */
    Comparator<WaitingLine> comparing(ToLongFunction<WaitingLine> served);

    /** Rank, then lane, then the organisation that was given least, then the earlier. */
    static WaitingOrder fair() {
        return served -> Comparator.<WaitingLine>comparingInt(
                        line -> line.claimant().rank())
                .thenComparing(WaitingLine::lane)
                .thenComparingLong(served)
                .thenComparingLong(WaitingLine::firstOrder);
    }
}
