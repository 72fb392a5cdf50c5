package io.beryldock.command;

import java.util.concurrent.CompletableFuture;

/** Changes the operators' configuration, as a port that the node's assembly implements. Thread safe, never blocks. */
@FunctionalInterface
public interface ConfigurationChanger {

    /** The future never fails: what can go wrong is a kind of report. */
    CompletableFuture<ChangeReport> change(ChangeRequest request);
}
