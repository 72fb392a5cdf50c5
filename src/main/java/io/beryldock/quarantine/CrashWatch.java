package io.beryldock.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Tells a crash of this node's target from a connection that broke.
 *
 * <p>A crash ends all connections to the target at once, and nobody listens there any more. So when a call ends without
 * an answer the target's port is tried: a refusal is a crash, at which all calls lost since the last trial were in
 * flight; a connection is none. The result of each lost call waits for that, so that the news of a crash leaves this
 * node before the caller can send the request again. Thread safe.
 */
public final class CrashWatch {

    private final Quarantine quarantine;
    private final Probe probe;
    private final Runnable spread;
    private final List<Fingerprint> lost = new ArrayList<>();
    private CompletableFuture<Boolean> judgement;

    private CrashWatch(Quarantine quarantine, Probe probe, Runnable spread) {
        this.quarantine = quarantine;
        this.probe = probe;
        this.spread = spread;
    }

    /** Tries whether the target takes connections. */
    @FunctionalInterface
    public interface Probe {

        /** Completes with true when a connection was made, with false when it was refused; never fails. */
        CompletableFuture<Boolean> acceptsConnections();
    }

    /** A watch that runs {@code spread} after each crash, to send {@link Quarantine#takeChanges()} to the peers. */
    public static CrashWatch create(Quarantine quarantine, Probe probe, Runnable spread) {
        return new CrashWatch(quarantine, probe, spread);
    }

    /** A call at the target ended without an answer; completes with whether the target crashed. */
    public CompletableFuture<Boolean> onLost(Fingerprint fingerprint) {
        CompletableFuture<Boolean> mine;
        synchronized (this) {
            lost.add(fingerprint);
            if (judgement != null) {
                return judgement;
            }
            mine = new CompletableFuture<>();
            judgement = mine;
        }
        probe.acceptsConnections().thenAccept(alive -> judge(mine, !alive));
        return mine;
    }

    private void judge(CompletableFuture<Boolean> mine, boolean crashed) {
        List<Fingerprint> calls;
        synchronized (this) {
            calls = List.copyOf(lost);
            lost.clear();
            judgement = null;
        }
        if (crashed) {
            quarantine.onTargetCrashed(calls);
            spread.run();
        } else {
            calls.forEach(quarantine::onAbandoned);
        }
        mine.complete(crashed);
    }
}
