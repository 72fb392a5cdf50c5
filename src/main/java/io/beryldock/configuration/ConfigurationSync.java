package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerService.Subscription;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.ConfigurationMessage;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Distributes accepted configuration changes to this node and from it to its peers.
 *
 * <p>Confined to the control thread. A few nodes of each data centre watch the store; every node pushes a change
 * that it did not have before to its neighbours, and compares digests with them. Accepted changes continue to spread
 * from node to node, within and between data centres, even if the store is unavailable for a long time.
 */
public final class ConfigurationSync {

    /** Interval of the digests from a node to a neighbour, and from a watcher to another data centre. */
    static final Duration DIGEST_PERIOD = Duration.ofSeconds(2);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Number of other data centres to which a watcher sends a digest as soon as it has a new version. */
    private static final int REMOTE_DIGESTS = 4;

    /**
     * On average, one in this many digest periods also sends a digest to any node of another data centre, in case all
     * watchers fail.
     */
    private static final int REMOTE_DIGEST_EVERY = 30;

    /** Minimum time between two peer selections, which bounds their cost while the directory keeps changing. */
    private static final long SELECTION_INTERVAL_NANOS =
            DIGEST_PERIOD.multipliedBy(2).toNanos();

    /** Time without messages from peers after which a digest requests a reply. */
    private static final long REQUEST_REPLY_NANOS = Duration.ofSeconds(3).toNanos();

    /** Time without messages from peers after which all neighbours get a digest that requests a reply. */
    private static final long REQUEST_ALL_REPLIES_NANOS = Duration.ofSeconds(5).toNanos();
    /** Time without messages from peers after which the node counts as isolated. */
    private static final long ISOLATED_NANOS = Duration.ofMillis(6500).toNanos();

    private static final int LOG_INTERVAL_SECONDS = 10;

    private static final long PAUSE_NANOS = DIGEST_PERIOD.multipliedBy(2).toNanos();

    private final NodeDescriptor self;
    private final ActiveConfiguration activeConfiguration;
    private final Ports ports;
    private final StoreWatch watch;
    private final DigestExchange digests;
    private final DocumentTransfer transfers;
    private final InForceSurvey survey;
    private final StartWait startWait;
    private final List<Subscription> subscriptions = new ArrayList<>();
    private PeerSelection selection;
    private long pushedVersion;
    private long lastTickAt;
    private long lastMessageAt;
    private long selectedAt;

    private ConfigurationSync(NodeDescriptor self, ActiveConfiguration activeConfiguration, Ports ports) {
        this.self = self;
        this.activeConfiguration = activeConfiguration;
        this.ports = ports;
        selection = PeerSelection.of(self, Directory.empty());
        Messenger messenger = Messenger.of(ports.transport(), self.peerAddress());
        watch = StoreWatch.create(activeConfiguration, ports);
        transfers = DocumentTransfer.create(
                activeConfiguration, messenger, ports.timers().ticker());
        digests = DigestExchange.create(
                activeConfiguration, messenger, ports.timers().ticker(), transfers::fetch);
        survey = InForceSurvey.create(
                self, activeConfiguration, messenger, this::selection, ports.timers(), ports.random());
        startWait = StartWait.create(activeConfiguration, watch, ports);
    }

    /**
     * Collaborators of the synchronisation. Immutable.
     *
     * @param directory nodes believed to be alive, with or without this node
     * @param seeds peer addresses that get digests while the directory is empty
     * @param timers runs its tasks on the control thread
     * @param control runs tasks on the control thread
     */
    public record Ports(
            PlatformStore store,
            ConfigurationTransport transport,
            Supplier<Directory> directory,
            Supplier<ImmutableList<InetSocketAddress>> seeds,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            EventSink events) {}

    public static ConfigurationSync create(NodeDescriptor self, ActiveConfiguration activeConfiguration, Ports ports) {
        return new ConfigurationSync(self, activeConfiguration, ports);
    }

    /**
     * Starts the synchronisation. The returned future completes when the store or enough peers have reported the
     * highest version and that version is in force here, or after {@link StartWait#MAX_WAIT}. Until then the node
     * should not serve with its defaults.
     */
    public CompletableFuture<StartReport> start() {
        lastTickAt = ports.timers().ticker().nanos();
        lastMessageAt = lastTickAt;
        selectedAt = lastTickAt - SELECTION_INTERVAL_NANOS;
        subscriptions.add(activeConfiguration.onChange(this::propagate));
        refreshSelection();
        long jitter = ports.random().nextLong(DIGEST_PERIOD.toNanos());
        subscriptions.add(ports.timers().after(Duration.ofNanos(jitter), this::startTicks));
        return startWait.begin(startPeers(), peer -> digests.sendDigest(peer, true));
    }

    private void startTicks() {
        subscriptions.add(ports.timers().every(DIGEST_PERIOD, this::tick));
    }

    /** Stops all timers; a store call under way ends on its own. */
    public void stop() {
        watch.setWatching(false);
        subscriptions.forEach(Subscription::cancel);
        subscriptions.clear();
    }

    private ImmutableList<InetSocketAddress> startPeers() {
        ImmutableList<InetSocketAddress> neighbours = selection.neighbours().stream()
                .map(NodeDescriptor::peerAddress)
                .collect(ImmutableList.toImmutableList());
        if (!neighbours.isEmpty()) {
            return neighbours;
        }
        return ports.seeds().get().stream()
                .filter(seed -> !seed.equals(self.peerAddress()))
                .collect(ImmutableList.toImmutableList());
    }

    private PeerSelection selection() {
        return selection;
    }

    private void refreshSelection() {
        long now = ports.timers().ticker().nanos();
        Directory directory = ports.directory().get();
        if (directory != selection.directory() && now - selectedAt >= SELECTION_INTERVAL_NANOS) {
            selection = selection.next(directory);
            selectedAt = now;
        }
        watch.setWatching(selection.watcher() || nanosWithoutMessage() > ISOLATED_NANOS);
    }

    /** Returns the time since the last message from a peer, in nanoseconds. */
    private long nanosWithoutMessage() {
        return ports.timers().ticker().nanos() - lastMessageAt;
    }

    private void tick() {
        refreshSelection();
        detectPause();
        sendNeighbourDigests();
        selection.remoteWatchers(1, ports.random()).forEach(this::sendDigest);
        if (nanosWithoutMessage() > ISOLATED_NANOS || ports.random().nextInt(REMOTE_DIGEST_EVERY) == 0) {
            selection.anyRemoteNode(ports.random()).ifPresent(this::sendDigest);
        }
        if (selection.neighbours().isEmpty()) {
            ports.seeds().get().forEach(digests::sendDigest);
        }
        transfers.releaseIdle();
    }

    /**
     * Sends a digest to a neighbour, or to all neighbours if no messages arrive.
     *
     * <p>Guards against a node whose neighbours have failed or cannot reach it before the directory shows this: the
     * node would continue with old settings. Peers without changes send nothing, so missing messages alone do not show
     * a failure. If neighbours that are asked for a reply send none, however, the node is isolated: it then watches the
     * store itself and sends digests to other data centres.
     */
    private void sendNeighbourDigests() {
        if (nanosWithoutMessage() > REQUEST_ALL_REPLIES_NANOS) {
            selection.neighbours().forEach(peer -> digests.sendDigest(peer.peerAddress(), true));
            return;
        }
        boolean requestReply = nanosWithoutMessage() > REQUEST_REPLY_NANOS;
        selection.neighbour(ports.random()).ifPresent(peer -> digests.sendDigest(peer.peerAddress(), requestReply));
    }

    /**
     * Detects that the node was paused, with its VM or process, by the gap between two ticks, and then sends a digest
     * to all neighbours at once. Without it, the node would route calls by an outdated document until its next digest.
     */
    private void detectPause() {
        long now = ports.timers().ticker().nanos();
        if (now - lastTickAt > PAUSE_NANOS) {
            selection.neighbours().forEach(this::sendDigest);
        }
        lastTickAt = now;
    }

    private void sendDigest(NodeDescriptor peer) {
        digests.sendDigest(peer.peerAddress());
    }

    private void propagate(Configuration next) {
        long after = pushedVersion == 0 ? next.version() - 1 : pushedVersion;
        pushedVersion = next.version();
        digests.push(after, selection.neighbours());
        selection.remoteWatchers(REMOTE_DIGESTS, ports.random()).forEach(this::sendDigest);
    }

    /** Handles a message from another node. */
    public void onMessage(NodeId sender, ByteString bytes) {
        try {
            Messenger.Received received = Messenger.read(bytes);
            lastMessageAt = ports.timers().ticker().nanos();
            dispatch(received.from(), received.message());
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            log.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "dropping an unreadable configuration message from %s: %s", sender, e.getMessage());
        }
    }

    private void dispatch(InetSocketAddress from, ConfigurationMessage message) {
        switch (message.getBodyCase()) {
            case DIGEST -> {
                digests.onDigest(from, message.getDigest());
                startWait.onDigest(from, message.getDigest().getVersion());
            }
            case PUSH -> digests.onPush(from, message.getPush());
            case WHOLE_REQUEST -> transfers.onRequest(from, message.getWholeRequest());
            case PART -> transfers.onPart(from, message.getPart());
            case SURVEY -> survey.onSurvey(from, message.getSurvey());
            case SURVEY_REPLY -> survey.onReply(message.getSurveyReply());
            case BODY_NOT_SET ->
                log.atFine().log("dropping a configuration message of a type that this release does not support");
        }
    }

    /**
     * Surveys repeatedly on which nodes the version is in force, until it is in force on all nodes or the time is over.
     */
    public CompletableFuture<InForceReport> awaitInForce(long version, Duration time) {
        return survey.await(version, time);
    }
}
