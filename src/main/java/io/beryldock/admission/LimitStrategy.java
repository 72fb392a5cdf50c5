package io.beryldock.admission;

/** Decides the next concurrency limit of a target from what the last window showed. A pure function. */
@FunctionalInterface
public interface LimitStrategy {

    double next(LimitWindow window);
}
