package io.beryldock.admission;

/** Computes the next concurrency limit of a target from the observations of the last window. A pure function. */
@FunctionalInterface
public interface LimitStrategy {

    double next(LimitWindow window);
}
