package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.time.Moment;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import io.beryldock.wire.StoreNotice;
import io.beryldock.wire.StorePart;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Follows the store on behalf of all nodes of a data centre: one node, the watcher, watches the store and forwards
 * changes to the others.
 *
 * <p>Guards against a number of store calls that grows with the square of the number of nodes: without sharing, each
 * change completes the watch of every node, and every node has to start a new watch.
 *
 * <p>Notices are only the fast way. Each node keeps the moment of its last check, at which the store provably held
 * nothing that the node had not read. Watchers check the store periodically and the others take the check over with the
 * answers to their questions. A node whose check is older than allowed asks the store itself, whatever the reason is:
 * so a change that the store has confirmed reaches a node within the allowed age, {@link #CHECK_PERIOD} and two calls
 * of the store, and no node depends on another node, on a watch or on the choice of watchers.
 *
 * <p>Used on the timer thread only, except {@link #stats()}.
 */
public final class StoreSharing {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    /** Period of the questions to the watcher. */
    private static final Duration QUESTION_PERIOD = Duration.ofMillis(400);

    /** Period at which a node looks whether a check of the store is due. */
    private static final Duration CHECK_PERIOD = Duration.ofMillis(200);

    /** Period of the comparison with other data centres. */
    private static final Duration SUPERVISION_PERIOD = Duration.ofSeconds(1);

    /**
     * Age of a watcher's check, as a share of the longest allowed one, at which it checks again. With the time until
     * the next question it stays below the allowed age at the nodes that take the check over.
     */
    private static final double WATCHER_CHECK_SHARE = 0.4;

    /** Age of the last check, as a share of the longest allowed one, above which a node is no watcher for others. */
    private static final double UNRELIABLE_WATCHER_SHARE = 3;

    /** Age of the last check, as a share of the longest allowed one, above which any node asks the store itself. */
    private static final double OVERDUE_SHARE = 1;

    /** Delay of the first election: when all nodes start at once, some have written their entries by then. */
    private static final Duration FIRST_ELECTION_DELAY = Duration.ofMillis(500);

    /**
     * Time after the start during which a node that knows any entries does not watch if it knows other nodes. It may
     * not know all nodes yet and could wrongly choose itself as the watcher. Without this period 27 nodes that started
     * at once made 480 calls of the store in their first 15 s.
     */
    private static final long STARTUP_PERIOD = Duration.ofSeconds(3).toNanos();

    /** Delay before a new era is entered: the answer that reported it may be a listing, which need not be repeated. */
    private static final Duration ERA_CHANGE_DELAY = Duration.ofMillis(50);

    private final NodeId self;
    private final Ports ports;
    private final long startedAt;
    private final WatcherChoice choice;
    private final CheckSchedule checkSchedule;
    private final Map<String, SharedFollower> followers = new LinkedHashMap<>();
    private final StoreQuestionHandler questionHandler;
    private boolean storeReachable = true;
    private volatile ImmutableList<FollowerStats> stats = ImmutableList.of();

    private StoreSharing(NodeId self, Ports ports) {
        this.self = self;
        this.ports = ports;
        this.startedAt = now(ports);
        this.checkSchedule = new CheckSchedule(startedAt, ports.random());
        this.choice = new WatcherChoice(self, startedAt);
        this.questionHandler =
                new StoreQuestionHandler(followers, ports.clock(), ports.store().eras());
    }

    /** Dependencies of the sharing; the timers run on the control thread. */
    public record Ports(
            RegistryStore store,
            StoreRecovery recovery,
            StorePeers peers,
            TimerService timers,
            Moment.Source clock,
            RandomGenerator random) {}

    public static StoreSharing create(NodeId self, Ports ports) {
        StoreSharing sharing = new StoreSharing(self, ports);
        ports.store().eras().onNewEra(ports.timers(), () -> ports.timers().after(ERA_CHANGE_DELAY, sharing::enterEra));
        ports.timers().after(FIRST_ELECTION_DELAY, sharing::exchange);
        ports.timers().every(QUESTION_PERIOD, sharing::exchange);
        ports.timers().every(CHECK_PERIOD, sharing::checkIfDue);
        ports.timers().every(SUPERVISION_PERIOD, sharing::supervise);
        return sharing;
    }

    /**
     * Follows the entries under the prefix.
     *
     * @param batchDelay delay between two watches, so that one call fetches a burst of changes
     * @param maxAge age of the last check above which this node asks the store itself
     * @return the age of the last verification of the entries
     */
    public Verification follow(String prefix, Duration batchDelay, Duration maxAge, EntryListener listener) {
        SharedFollower follower = new SharedFollower(
                prefix,
                batchDelay,
                maxAge,
                listener,
                new FollowerOwner(),
                ports.store(),
                ports.timers(),
                ports.clock(),
                ports.random());
        followers.put(prefix, follower);
        ports.recovery().subscribe(follower::restartWatch);
        follower.start();
        return () ->
                follower.verified().map(moment -> moment.ageNanos(ports.clock().now()));
    }

    /** The age of the last verification that the store has nothing newer. Thread safe. */
    @FunctionalInterface
    public interface Verification {

        /** Age in nanoseconds; empty before the first verification. */
        Optional<Long> ageNanos();
    }

    /** Handles a message of another node; only questions get a reply. */
    public void onMessage(NodeId sender, ByteString body, Consumer<ByteString> reply) {
        Optional<StoreNotice> notice = read(sender, body);
        if (notice.isEmpty()) {
            return;
        }
        eras().observe(notice.get().getEra());
        if (notice.get().getQuestion()) {
            reply.accept(questionHandler.answer(notice.get(), watching()).toByteString());
        } else {
            apply(sender, notice.get());
        }
    }

    private static Optional<StoreNotice> read(NodeId sender, ByteString body) {
        try {
            return Optional.of(StoreNotice.parseFrom(body));
        } catch (InvalidProtocolBufferException e) {
            log.atWarning().withCause(e).atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "node %s sent a malformed store notice", sender);
            return Optional.empty();
        }
    }

    private static long now(Ports ports) {
        return ports.timers().ticker().nanos();
    }

    /** How this node follows each prefix, as of the last second. Thread safe. */
    public ImmutableList<FollowerStats> stats() {
        return stats;
    }

    private void exchange() {
        elect();
        if (!isWatcher()) {
            askOwnDataCentre();
        }
    }

    private void askOwnDataCentre() {
        ImmutableSet<NodeId> members = ports.peers().ownDataCentre();
        choice.nextToAsk(members, watcherCount(), now(ports)).ifPresent(this::ask);
    }

    /** Compares watchers with each other and across data centres, which reveals silent watches. */
    private void supervise() {
        stats = followers.values().stream().map(SharedFollower::stats).collect(ImmutableList.toImmutableList());
        followers.values().forEach(SharedFollower::replaceSilentWatch);
        if (isWatcher()) {
            askOwnDataCentre();
            ports.peers().randomRemoteNode().ifPresent(this::ask);
        }
    }

    /** Asks the store for its revision: watchers periodically, others if the check of any prefix is too old. */
    private void checkIfDue() {
        long now = now(ports);
        if (!checkSchedule.mayBegin(now)) {
            return;
        }
        boolean watcher = isWatcher();
        if (watcher || isAnyCheckOlderThan(OVERDUE_SHARE)) {
            checkSchedule.onBegun(now, watcher);
            check(watcher ? WATCHER_CHECK_SHARE : OVERDUE_SHARE);
        }
    }

    private boolean isAnyCheckOlderThan(double shareOfMaxAge) {
        Moment now = ports.clock().now();
        return followers.values().stream().anyMatch(follower -> follower.isCheckOlderThan(shareOfMaxAge, now));
    }

    private void check(double shareOfMaxAge) {
        Moment asked = ports.clock().now();
        TimerThread.onCompletion(ports.timers(), ports.store().revision(), (revision, failure) -> {
            onStoreCall(failure == null);
            if (failure == null) {
                checkSchedule.onAnswered();
                followers.values().forEach(follower -> follower.check(asked, revision, shareOfMaxAge));
            }
        });
    }

    private void onStoreCall(boolean answered) {
        boolean changed = storeReachable != answered;
        storeReachable = answered;
        if (changed) {
            log.atInfo().log(answered ? "the store answers again" : "the store does not answer");
            notifyOwnDataCentre(notice());
        }
        ports.recovery().onCall(answered);
    }

    private void enterEra() {
        long era = eras().newest();
        followers.values().forEach(follower -> follower.enterEra(era));
    }

    private StoreEras eras() {
        return ports.store().eras();
    }

    private void elect() {
        boolean watcher = isWatcher();
        boolean reliesOnOthers = now(ports) - startedAt < STARTUP_PERIOD && knowsOthers();
        followers
                .values()
                .forEach(follower -> follower.setWatcher(watcher && !(reliesOnOthers && follower.knowsEntries())));
    }

    private boolean knowsOthers() {
        return ports.peers().ownDataCentre().size() > 1
                || ports.peers().randomRemoteNode().isPresent();
    }

    private boolean isWatcher() {
        return choice.isWatcher(ports.peers().ownDataCentre(), watcherCount(), now(ports));
    }

    private int watcherCount() {
        return ports.peers().randomRemoteNode().isPresent() ? WatcherChoice.WITH_OTHER_CENTRES : WatcherChoice.ALONE;
    }

    private void ask(NodeId node) {
        StoreNotice.Builder question = notice().setQuestion(true);
        followers.forEach((prefix, follower) -> question.addParts(known(prefix, follower)));
        Moment asked = ports.clock().now();
        TimerThread.onCompletion(
                ports.timers(),
                ports.peers().ask(node, question.build().toByteString()),
                (answer, failure) -> onAnswer(node, asked, answer, failure));
    }

    private static StorePart known(String prefix, SharedFollower follower) {
        StorePart.Builder part = StoreParts.part(prefix, follower.revision());
        follower.kept().ifPresent(entry -> part.setKept(StoreParts.withoutValue(entry)));
        return part.build();
    }

    private void onAnswer(NodeId node, Moment asked, ByteString answer, Throwable failure) {
        if (failure != null) {
            suspect(node, "it did not answer");
            return;
        }
        Optional<StoreNotice> notice = read(node, answer);
        if (notice.isPresent()) {
            eras().observe(notice.get().getEra());
            apply(node, notice.get());
            noteChecks(asked, notice.get());
        }
    }

    /**
     * Takes over the checks of another node's answer, dated at the question minus the age in the answer.
     *
     * <p>The age is counted from the question by this node's own clocks, as the answer may have been delayed.
     */
    private void noteChecks(Moment asked, StoreNotice answer) {
        for (StorePart part : answer.getPartsList()) {
            SharedFollower follower = followers.get(part.getPrefix());
            if (follower != null && part.hasCheckedAgeNanos()) {
                follower.noteChecked(asked.minusNanos(part.getCheckedAgeNanos()), StoreParts.checkedRevision(part));
            }
            if (follower != null && part.hasVerifiedAgeNanos()) {
                follower.noteVerified(asked.minusNanos(part.getVerifiedAgeNanos()), StoreParts.verifiedRevision(part));
            }
        }
    }

    /** Suspects the node and elects again at once, as this node may be the next in rank. */
    private void suspect(NodeId node, String reason) {
        if (!isWatcher() && ports.peers().ownDataCentre().contains(node)) {
            log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "node %s is passed over as a watcher: %s", node, reason);
        }
        choice.suspect(node, now(ports));
        elect();
    }

    /** Whether others can rely on this node: it watches the store, and its checks are recent. */
    private boolean watching() {
        return storeReachable && isWatcher() && !isAnyCheckOlderThan(UNRELIABLE_WATCHER_SHARE);
    }

    private void apply(NodeId sender, StoreNotice notice) {
        choice.onMessage(sender, notice.getWatching(), now(ports));
        boolean complete = true;
        for (StorePart part : notice.getPartsList()) {
            SharedFollower follower = followers.get(part.getPrefix());
            if (follower != null) {
                StoreRevision before = follower.revision();
                StoreRevision lastChange = follower.lastChange();
                complete &= follower.apply(part);
                logProgress(follower, lastChange, sender);
                forwardChanges(follower, before, sender);
            }
        }
        if (!notice.getWatching() || isOfEarlierEra(notice)) {
            suspect(sender, "it does not watch the store");
        }
        if (!complete) {
            ask(sender);
        }
    }

    private static void logProgress(SharedFollower follower, StoreRevision before, NodeId sender) {
        if (follower.lastChange().isAfter(before)) {
            log.atInfo().log(
                    "%s: changes up to revision %s from node %s", follower.prefix(), follower.lastChange(), sender);
        }
    }

    /** Whether the sender still follows an earlier era of the store, for example after a suspension or a partition. */
    private boolean isOfEarlierEra(StoreNotice notice) {
        return notice.getEra() < eras().newest();
    }

    private StoreNotice.Builder notice() {
        return StoreNotice.newBuilder().setEra(eras().newest());
    }

    /** Forwards changes received from another data centre, as the store may reject all nodes of this data centre. */
    private void forwardChanges(SharedFollower follower, StoreRevision before, NodeId sender) {
        boolean changed = follower.revision().isAfter(before);
        if (changed && !ports.peers().ownDataCentre().contains(sender)) {
            notifyOwnDataCentre(notice().addParts(follower.since(before)));
        }
    }

    private void notifyOwnDataCentre(StoreNotice.Builder update) {
        if (!isWatcher()) {
            return;
        }
        ImmutableSet<NodeId> members = ports.peers().ownDataCentre();
        ByteString body = update.setWatching(storeReachable).build().toByteString();
        members.stream()
                .filter(node -> !node.equals(self))
                .forEach(node -> ports.peers().send(node, body));
    }

    /** Handles the events of the followers. */
    private final class FollowerOwner implements SharedFollower.Owner {

        @Override
        public void onChanges(SharedFollower follower) {
            notifyOwnDataCentre(notice().addParts(follower.since(follower.forwardedRevision())));
        }

        @Override
        public void onStore(boolean answered) {
            onStoreCall(answered);
        }
    }
}
