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
 * Delays the start of a node until it knows the highest version of the configuration.
 *
 * <p>Confined to the control thread. Guards against a restarted node that serves with the defaults of its release: for
 * seconds after every start, drained targets would get requests and changed priorities would be ignored. The wait ends
 * when the store has answered, or when {@link #REQUIRED_PEERS} peers have answered, so that a fleet whose nodes all
 * start at once does not need one store read per node. While the store is down, the answers of all known peers suffice
 * if there are fewer.
 */
final class StartWait {

    /** Maximum wait; after this, the node serves with the version that it has. */
    static final Duration MAX_WAIT = Duration.ofSeconds(5);

    static final int REQUIRED_PEERS = 3;

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final Duration STORE_JITTER = Duration.ofMillis(500);
    /** Time for peers to report a configuration that an empty store may have lost. */
    private static final Duration PEER_REPLY_TIME = Duration.ofSeconds(2);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

    private final ActiveConfiguration activeConfiguration;
    private final StoreWatch watch;
    private final TimerService timers;
    private final RandomGenerator random;
    private final CompletableFuture<StartReport> done = new CompletableFuture<>();
    private final Set<InetSocketAddress> answered = new HashSet<>();
    private int queriedPeers;
    private boolean storeFailed;
    private boolean storeEmpty;
    private long highest;
    private TimerService.Subscription changeSubscription = () -> {};

    private StartWait(ActiveConfiguration activeConfiguration, StoreWatch watch, ConfigurationSync.Ports ports) {
        this.activeConfiguration = activeConfiguration;
        this.watch = watch;
        this.timers = ports.timers();
        this.random = ports.random();
    }

    static StartWait create(ActiveConfiguration activeConfiguration, StoreWatch watch, ConfigurationSync.Ports ports) {
        return new StartWait(activeConfiguration, watch, ports);
    }

    CompletableFuture<StartReport> begin(
            ImmutableList<InetSocketAddress> peers, Consumer<InetSocketAddress> sendRequest) {
        queriedPeers = peers.size();
        changeSubscription = activeConfiguration.onChange(next -> checkPeers());
        queryPeers(peers, sendRequest);
        long jitter = peers.isEmpty() ? 0 : random.nextLong(STORE_JITTER.toNanos());
        timers.after(Duration.ofNanos(jitter), this::readStore);
        timers.after(MAX_WAIT, this::onTimeout);
        return done;
    }

    private void queryPeers(ImmutableList<InetSocketAddress> peers, Consumer<InetSocketAddress> sendRequest) {
        if (done.isDone()) {
            return;
        }
        peers.forEach(sendRequest);
        timers.after(RETRY_INTERVAL, () -> queryPeers(peers, sendRequest));
    }

    private void readStore() {
        if (done.isDone()) {
            return;
        }
        watch.read().thenAccept(this::onStoreRead);
    }

    private void onStoreRead(StoreWatch.ReadOutcome outcome) {
        switch (outcome) {
            case ADOPTED -> finish(true);
            case EMPTY -> {
                // Either no change was ever made, or the store lost all changes and peers still have them.
                storeEmpty = true;
                checkPeers();
                timers.after(queriedPeers == 0 ? Duration.ZERO : PEER_REPLY_TIME, () -> finish(true));
            }
            case FAILED -> {
                storeFailed = true;
                checkPeers();
                timers.after(RETRY_INTERVAL, this::readStore);
            }
        }
    }

    /** Records the version that a peer holds. */
    void onDigest(InetSocketAddress peer, long version) {
        answered.add(peer);
        highest = Math.max(highest, version);
        checkPeers();
    }

    private void checkPeers() {
        boolean withoutStore = storeFailed || storeEmpty;
        int required = withoutStore ? Math.max(1, Math.min(queriedPeers, REQUIRED_PEERS)) : REQUIRED_PEERS;
        boolean confirmedByPeers =
                answered.size() >= required && (storeEmpty || highest > Configuration.DEFAULTS_VERSION);
        if (confirmedByPeers && activeConfiguration.current().version() >= highest) {
            finish(true);
        }
    }

    private void onTimeout() {
        if (!done.isDone()) {
            log.atWarning().log(
                    "neither the platform store nor enough peers reported the highest configuration version;"
                            + " serving with version %d",
                    activeConfiguration.current().version());
            finish(false);
        }
    }

    private void finish(boolean confirmed) {
        changeSubscription.cancel();
        done.complete(new StartReport(activeConfiguration.current().version(), confirmed));
    }
}
