package io.beryldock.command;

import io.beryldock.configuration.InForceReport;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Finds out how far a version of the configuration has spread. Thread safe, never blocks. */
@FunctionalInterface
public interface InForceCheck {

    /** Completes once the version is in force everywhere, or after the time with where it is by then. */
    CompletableFuture<InForceReport> check(long version, Duration time);
}
