package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.beryldock.time.TimerService;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The wait of a node that starts until it knows the highest version.
 *
 * <p>On the control thread only. Guards against a restarted node that serves on the defaults of its release: it would
 * show as drained targets that get work and changed priorities that are forgotten, for seconds after every start. The
 * store's answer ends the wait, or the answers of {@link #PEERS_ENOUGH} peers, so that a fleet that starts all at once
 * does not need the store for each node; while the store is down, the answers of all peers there are.
 */
final class StartWait {

    /** After this the node serves on what it has. */
    static final Duration LONGEST = Duration.ofSeconds(5);

    static final int PEERS_ENOUGH = 3;

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final Duration STORE_JITTER = Duration.ofMillis(500);
    /** Time for peers to tell what a store without a configuration has lost. */
    private static final Duration PEERS_TIME = Duration.ofSeconds(2);

    private static final Duration ASK_AGAIN = Duration.ofMillis(500);

    private final ConfigurationKeeper keeper;
    private final StoreWatch watch;
    private final TimerService timers;
    private final RandomGenerator random;
    private final CompletableFuture<StartReport> done = new CompletableFuture<>();
    private final Set<InetSocketAddress> answered = new HashSet<>();
    private int asked;
    private boolean storeFailed;
    private boolean storeEmpty;
    private long highest;
    private TimerService.Subscription changes = () -> {};

    private StartWait(ConfigurationKeeper keeper, StoreWatch watch, ConfigurationSync.Ports ports) {
        this.keeper = keeper;
        this.watch = watch;
        this.timers = ports.timers();
        this.random = ports.random();
    }

    static StartWait create(ConfigurationKeeper keeper, StoreWatch watch, ConfigurationSync.Ports ports) {
        return new StartWait(keeper, watch, ports);
    }

    CompletableFuture<StartReport> begin(ImmutableList<InetSocketAddress> peers, Consumer<InetSocketAddress> ask) {
        asked = peers.size();
        changes = keeper.onChange(next -> checkPeers());
        askPeers(peers, ask);
        long jitter = peers.isEmpty() ? 0 : random.nextLong(STORE_JITTER.toNanos());
        timers.after(Duration.ofNanos(jitter), this::askStore);
        timers.after(LONGEST, this::giveUp);
        return done;
    }

    private void askPeers(ImmutableList<InetSocketAddress> peers, Consumer<InetSocketAddress> ask) {
        if (done.isDone()) {
            return;
        }
        peers.forEach(ask);
        timers.after(ASK_AGAIN, () -> askPeers(peers, ask));
    }

    private void askStore() {
        if (done.isDone()) {
            return;
        }
        watch.read().thenAccept(this::storeRead);
    }

    private void storeRead(StoreWatch.ReadOutcome outcome) {
        switch (outcome) {
            case TAKEN -> finish(true);
            case EMPTY -> {
                // Either nothing was ever changed, or the store lost it all and peers still have it.
                storeEmpty = true;
                checkPeers();
                timers.after(asked == 0 ? Duration.ZERO : PEERS_TIME, () -> finish(true));
            }
            case FAILED -> {
                storeFailed = true;
                checkPeers();
                timers.after(ASK_AGAIN, this::askStore);
            }
        }
    }

    /** Notes what a peer has. */
    void onDigest(InetSocketAddress peer, long version) {
        answered.add(peer);
        highest = Math.max(highest, version);
        checkPeers();
    }

    private void checkPeers() {
        boolean withoutStore = storeFailed || storeEmpty;
        int enough = withoutStore ? Math.max(1, Math.min(asked, PEERS_ENOUGH)) : PEERS_ENOUGH;
        boolean told = answered.size() >= enough && (storeEmpty || highest > Configuration.DEFAULTS_VERSION);
        if (told && keeper.current().version() >= highest) {
            finish(true);
        }
    }

    private void giveUp() {
        if (!done.isDone()) {
            log.atWarning().log(
                    "neither the platform store nor enough peers told the highest configuration; serving on version %d",
                    keeper.current().version());
            finish(false);
        }
    }

    private void finish(boolean confirmed) {
        changes.cancel();
        done.complete(new StartReport(keeper.current().version(), confirmed));
    }
}
