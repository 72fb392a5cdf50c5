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
 * Brings accepted changes to this node and on to its peers.
 *
 * <p>Called on the control thread only. A few nodes of each data centre watch the store; every node pushes a change
 * that is new to it to its neighbours and compares digests with them. The store may be away for long: what was accepted
 * before goes on spreading from node to node, within and between data centres.
 */
public final class ConfigurationSync {

    /** Time between two digests of a node to a neighbour, and of a watcher to another data centre. */
    static final Duration DIGEST_PERIOD = Duration.ofSeconds(2);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Other data centres to which a watcher sends a digest as soon as a version is new to it. */
    private static final int DIGESTS_ELSEWHERE = 4;

    /** Digests to a neighbour for each one to any node of another data centre, should all watchers fail. */
    private static final int ELSEWHERE_EVERY = 30;

    /** Time between two choices of peers, should the directory change all the time. */
    private static final long CHOICE_NANOS = DIGEST_PERIOD.multipliedBy(2).toNanos();

    /** Silence after which a digest asks for an answer, then all neighbours are asked, then the node is alone. */
    private static final long QUIET_NANOS = Duration.ofSeconds(3).toNanos();

    private static final long QUIETER_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long ALONE_NANOS = Duration.ofMillis(6500).toNanos();

    private static final int LOG_SECONDS = 10;

    private static final long PAUSED_NANOS = DIGEST_PERIOD.multipliedBy(2).toNanos();

    private final NodeDescriptor self;
    private final ConfigurationKeeper keeper;
    private final Ports ports;
    private final StoreWatch watch;
    private final DigestExchange digests;
    private final WholeExchange wholes;
    private final InForceSurvey survey;
    private final StartWait startWait;
    private final List<Subscription> subscriptions = new ArrayList<>();
    private PeerChoice choice;
    private long pushed;
    private long lastTick;
    private long lastHeard;
    private long chosenAt;

    private ConfigurationSync(NodeDescriptor self, ConfigurationKeeper keeper, Ports ports) {
        this.self = self;
        this.keeper = keeper;
        this.ports = ports;
        choice = PeerChoice.of(self, Directory.empty());
        Messenger messenger = Messenger.of(ports.transport(), self.peerAddress());
        watch = StoreWatch.create(keeper, ports);
        wholes = WholeExchange.create(keeper, messenger, ports.timers().ticker());
        digests = DigestExchange.create(keeper, messenger, ports.timers().ticker(), wholes::fetch);
        survey = InForceSurvey.create(self, keeper, messenger, this::choice, ports.timers(), ports.random());
        startWait = StartWait.create(keeper, watch, ports);
    }

    /**
     * What the synchronisation is given from outside. Immutable.
     *
     * @param directory nodes believed alive, this one among them or not
     * @param seeds peer addresses to ask while the directory is empty
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

    public static ConfigurationSync create(NodeDescriptor self, ConfigurationKeeper keeper, Ports ports) {
        return new ConfigurationSync(self, keeper, ports);
    }

    /**
     * Begins; completes when the store or enough peers have told the highest version and it is in force here, or after
     * {@link StartWait#LONGEST}. The node should serve on its defaults only then.
     */
    public CompletableFuture<StartReport> start() {
        lastTick = ports.timers().ticker().nanos();
        lastHeard = lastTick;
        chosenAt = lastTick - CHOICE_NANOS;
        subscriptions.add(keeper.onChange(this::spread));
        refreshChoice();
        long jitter = ports.random().nextLong(DIGEST_PERIOD.toNanos());
        subscriptions.add(ports.timers().after(Duration.ofNanos(jitter), this::beginTicks));
        return startWait.begin(firstPeers(), peer -> digests.sendDigest(peer, true));
    }

    private void beginTicks() {
        subscriptions.add(ports.timers().every(DIGEST_PERIOD, this::tick));
    }

    /** Ends all timers; a store call under way ends by itself. */
    public void stop() {
        watch.want(false);
        subscriptions.forEach(Subscription::cancel);
        subscriptions.clear();
    }

    private ImmutableList<InetSocketAddress> firstPeers() {
        ImmutableList<InetSocketAddress> neighbours =
                choice.neighbours().stream().map(NodeDescriptor::peerAddress).collect(ImmutableList.toImmutableList());
        if (!neighbours.isEmpty()) {
            return neighbours;
        }
        return ports.seeds().get().stream()
                .filter(seed -> !seed.equals(self.peerAddress()))
                .collect(ImmutableList.toImmutableList());
    }

    private PeerChoice choice() {
        return choice;
    }

    private void refreshChoice() {
        long now = ports.timers().ticker().nanos();
        Directory directory = ports.directory().get();
        if (directory != choice.directory() && now - chosenAt >= CHOICE_NANOS) {
            choice = choice.next(directory);
            chosenAt = now;
        }
        watch.want(choice.watcher() || silence() > ALONE_NANOS);
    }

    /** Time since a peer was heard of. */
    private long silence() {
        return ports.timers().ticker().nanos() - lastHeard;
    }

    private void tick() {
        refreshChoice();
        noteTick();
        tellNeighbours();
        choice.watchersElsewhere(1, ports.random()).forEach(this::sendDigest);
        if (silence() > ALONE_NANOS || ports.random().nextInt(ELSEWHERE_EVERY) == 0) {
            choice.anyElsewhere(ports.random()).ifPresent(this::sendDigest);
        }
        if (choice.neighbours().isEmpty()) {
            ports.seeds().get().forEach(digests::sendDigest);
        }
        wholes.tick();
    }

    /**
     * Sends a digest to a neighbour, or more when it is quiet.
     *
     * <p>Guards against a node whose neighbours are gone, or can't reach it, before the directory says so: it would
     * show as one node that goes on by old settings. Peers with nothing new say nothing, so silence alone does not
     * tell; but when neighbours that are asked for an answer give none, the node is alone: it watches the store itself
     * and asks other data centres.
     */
    private void tellNeighbours() {
        if (silence() > QUIETER_NANOS) {
            choice.neighbours().forEach(peer -> digests.sendDigest(peer.peerAddress(), true));
            return;
        }
        boolean quiet = silence() > QUIET_NANOS;
        choice.neighbour(ports.random()).ifPresent(peer -> digests.sendDigest(peer.peerAddress(), quiet));
    }

    /**
     * Guards against a node that was paused, with its VM or process, and goes on with settings of long ago: it would
     * show as calls that are routed by an old document until the next digest. The gap between two ticks gives it away,
     * and all neighbours are asked at once.
     */
    private void noteTick() {
        long now = ports.timers().ticker().nanos();
        if (now - lastTick > PAUSED_NANOS) {
            choice.neighbours().forEach(this::sendDigest);
        }
        lastTick = now;
    }

    private void sendDigest(NodeDescriptor peer) {
        digests.sendDigest(peer.peerAddress());
    }

    private void spread(Configuration next) {
        long after = pushed == 0 ? next.version() - 1 : pushed;
        pushed = next.version();
        digests.push(after, choice.neighbours());
        choice.watchersElsewhere(DIGESTS_ELSEWHERE, ports.random()).forEach(this::sendDigest);
    }

    /** Takes a message of another node. */
    public void onMessage(NodeId sender, ByteString bytes) {
        try {
            Messenger.Received received = Messenger.read(bytes);
            lastHeard = ports.timers().ticker().nanos();
            dispatch(received.from(), received.message());
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "an unreadable configuration message from %s is dropped: %s", sender, e.getMessage());
        }
    }

    private void dispatch(InetSocketAddress from, ConfigurationMessage message) {
        switch (message.getBodyCase()) {
            case DIGEST -> {
                digests.onDigest(from, message.getDigest());
                startWait.onDigest(from, message.getDigest().getVersion());
            }
            case PUSH -> digests.onPush(from, message.getPush());
            case WHOLE_REQUEST -> wholes.onRequest(from, message.getWholeRequest());
            case PART -> wholes.onPart(from, message.getPart());
            case SURVEY -> survey.onSurvey(from, message.getSurvey());
            case SURVEY_REPLY -> survey.onReply(message.getSurveyReply());
            case BODY_NOT_SET -> log.atFine().log("a message of a later release is dropped");
        }
    }

    /** Asks how far the version has spread, again and again until it is everywhere or the time is over. */
    public CompletableFuture<InForceReport> awaitInForce(long version, Duration time) {
        return survey.await(version, time);
    }
}
