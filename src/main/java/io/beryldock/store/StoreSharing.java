package io.beryldock.store;

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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Follows the store on behalf of all nodes of a data centre: one of them watches it and sends what changes to the
 * others.
 *
 * <p>Guards against calls that grow with the square of the fleet: a change wakes the watch of each node, which has to
 * be made again. Each second a node asks the watcher whether it knows more; that brings what a lost message held, and a
 * watcher that does not answer is replaced. Watchers ask in the other data centres too, so that one whose own watch has
 * gone silent learns of it; where there is no other data centre two nodes watch.
 *
 * <p>Used on the thread of the timers only.
 */
public final class StoreSharing {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    /** How often a node asks: bounds how long it stays behind after a message was lost. */
    private static final Duration QUESTION_PERIOD = Duration.ofSeconds(1);

    /**
     * Age of the last verification from which on a node asks the store itself. The watcher's is up to one period old
     * and told within another; one period more is left for the loss of a watcher.
     */
    private static final Duration RELIANCE = Duration.ofMillis(2500);

    /** First look at the others: when all nodes start at once, some have written their entries by then. */
    private static final Duration SETTLE = Duration.ofMillis(500);

    /**
     * Time after the start in which a node that knows any entries leaves watching to others, as it does not know all of
     * them yet and may take itself for the watcher. 27 nodes that started at once made 480 calls of the store in their
     * first 15 s without it.
     */
    private static final long YOUTH = Duration.ofSeconds(3).toNanos();

    /** The answer that named a new era may be a listing, which is not made twice. */
    private static final Duration ERA_SETTLE = Duration.ofMillis(50);

    private final NodeId self;
    private final Ports ports;
    private final long startedAt;
    private final WatcherChoice choice;
    private final Map<String, SharedFollower> followers = new LinkedHashMap<>();
    private final List<SharedFollower> verified = new ArrayList<>();
    private final StoreAnswers answers;
    private boolean storeAnswers = true;

    private StoreSharing(NodeId self, Ports ports) {
        this.self = self;
        this.ports = ports;
        this.startedAt = now(ports);
        this.choice = new WatcherChoice(self, startedAt);
        this.answers = new StoreAnswers(
                followers, verified, ports.clock(), ports.store().eras());
    }

    /** What the sharing works with; the timers run on the control thread. */
    public record Ports(
            RegistryStore store,
            StoreRecovery recovery,
            StorePeers peers,
            TimerService timers,
            Moment.Source clock,
            RandomGenerator random) {}

    public static StoreSharing create(NodeId self, Ports ports) {
        StoreSharing sharing = new StoreSharing(self, ports);
        ports.store().eras().onRise(ports.timers(), () -> ports.timers().after(ERA_SETTLE, sharing::enterEra));
        ports.timers().after(SETTLE, sharing::tick);
        ports.timers().every(QUESTION_PERIOD, sharing::tick);
        return sharing;
    }

    /**
     * Follows the entries under the prefix.
     *
     * @param gather pause between two watches: changes that come together are fetched by one call
     */
    public void follow(String prefix, Duration gather, EntryListener listener) {
        add(prefix, gather, listener);
    }

    /**
     * Follows the entries and keeps knowing since when nothing newer was in the store.
     *
     * <p>Costs a reading a second and data centre: one node asks the store, the others ask it. Guards against a node
     * that goes on by entries that were changed while it could not hear of it: cut off, turned away, or suspended.
     */
    public Verification followVerified(String prefix, Duration gather, EntryListener listener) {
        SharedFollower follower = add(prefix, gather, listener);
        verified.add(follower);
        return () ->
                follower.verified().map(moment -> moment.ageNanos(ports.clock().now()));
    }

    /** Tells how old the knowledge is that the store has nothing newer. Thread safe. */
    @FunctionalInterface
    public interface Verification {

        /** Age in nanoseconds; empty when it was never known. */
        Optional<Long> ageNanos();
    }

    private SharedFollower add(String prefix, Duration gather, EntryListener listener) {
        SharedFollower follower = new SharedFollower(
                prefix,
                gather,
                listener,
                new FollowerOwner(),
                ports.store(),
                ports.timers(),
                ports.clock(),
                ports.random());
        followers.put(prefix, follower);
        ports.recovery().subscribe(follower::refresh);
        follower.start();
        return follower;
    }

    /** Takes a message of another node; only a question is replied to. */
    public void onMessage(NodeId sender, ByteString body, Consumer<ByteString> reply) {
        Optional<StoreNotice> notice = read(sender, body);
        if (notice.isEmpty()) {
            return;
        }
        eras().note(notice.get().getEra());
        if (notice.get().getQuestion()) {
            reply.accept(answers.to(notice.get(), watching()).toByteString());
        } else {
            take(sender, notice.get());
        }
    }

    private static Optional<StoreNotice> read(NodeId sender, ByteString body) {
        try {
            return Optional.of(StoreNotice.parseFrom(body));
        } catch (InvalidProtocolBufferException e) {
            log.atWarning().withCause(e).atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "node %s sent a malformed notice of the store", sender);
            return Optional.empty();
        }
    }

    private static long now(Ports ports) {
        return ports.timers().ticker().nanos();
    }

    private void tick() {
        elect();
        followers.values().forEach(SharedFollower::replaceSilentWatch);
        ImmutableSet<NodeId> members = ports.peers().ownDataCentre();
        choice.nextToAsk(members, watchers(), now(ports)).ifPresent(this::ask);
        if (isWatcher()) {
            ports.peers().elsewhere().ifPresent(this::ask);
            probe();
        } else {
            verified.stream().filter(this::isUnverified).forEach(SharedFollower::verify);
        }
    }

    /** Nobody could tell this node for a while: it asks the store itself. */
    private boolean isUnverified(SharedFollower follower) {
        Moment now = ports.clock().now();
        return follower.verified()
                .filter(moment -> moment.ageNanos(now) <= RELIANCE.toNanos())
                .isEmpty();
    }

    /**
     * A short call of the store, so that a watcher that the store turns away in silence is known as one within two
     * seconds and not only when its long watch ends.
     */
    private void probe() {
        if (!verified.isEmpty()) {
            verified.forEach(SharedFollower::verify);
            return;
        }
        TimerThread.hear(ports.timers(), ports.store().probe(), (done, failure) -> onStoreCall(failure == null));
    }

    private void onStoreCall(boolean answered) {
        boolean changed = storeAnswers != answered;
        storeAnswers = answered;
        if (changed) {
            log.atInfo().log(answered ? "the store answers again" : "the store does not answer");
            tellOwnDataCentre(notice());
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
        boolean relies = now(ports) - startedAt < YOUTH && knowsOthers();
        followers.values().forEach(follower -> follower.setWatcher(watcher && !(relies && follower.knowsEntries())));
    }

    private boolean knowsOthers() {
        return ports.peers().ownDataCentre().size() > 1
                || ports.peers().elsewhere().isPresent();
    }

    private boolean isWatcher() {
        return choice.isWatcher(ports.peers().ownDataCentre(), watchers(), now(ports));
    }

    private int watchers() {
        return ports.peers().elsewhere().isPresent() ? WatcherChoice.BESIDE_OTHERS : WatcherChoice.ALONE;
    }

    private void ask(NodeId node) {
        StoreNotice.Builder question = notice().setQuestion(true);
        followers.forEach((prefix, follower) -> question.addParts(known(prefix, follower)));
        Moment asked = ports.clock().now();
        TimerThread.hear(
                ports.timers(),
                ports.peers().ask(node, question.build().toByteString()),
                (answer, failure) -> onAnswer(node, asked, answer, failure));
    }

    private static StorePart known(String prefix, SharedFollower follower) {
        StorePart.Builder part = StoreParts.part(prefix, follower.revision());
        follower.kept().ifPresent(entry -> part.setKept(StoreParts.mark(entry)));
        return part.build();
    }

    private void onAnswer(NodeId node, Moment asked, ByteString answer, Throwable failure) {
        if (failure != null) {
            suspect(node);
            return;
        }
        Optional<StoreNotice> notice = read(node, answer);
        if (notice.isPresent()) {
            eras().note(notice.get().getEra());
            take(node, notice.get());
            noteVerified(asked, notice.get());
        }
    }

    /**
     * What the other node had verified when it answered was so at the question, less the age that it names.
     *
     * <p>Counted from the question by this node's own clocks: an answer may have waited anywhere on its way.
     */
    private void noteVerified(Moment asked, StoreNotice answer) {
        for (StorePart part : answer.getPartsList()) {
            SharedFollower follower = followers.get(part.getPrefix());
            if (follower != null && part.hasVerifiedAgeNanos()) {
                follower.noteVerified(asked.minusNanos(part.getVerifiedAgeNanos()), StoreParts.revision(part));
            }
        }
    }

    /** The next node in rank may be this one: it watches at once. */
    private void suspect(NodeId node) {
        choice.suspect(node, now(ports));
        elect();
    }

    private boolean watching() {
        return storeAnswers && isWatcher();
    }

    private void take(NodeId sender, StoreNotice notice) {
        choice.heard(sender, notice.getWatching(), now(ports));
        boolean whole = true;
        for (StorePart part : notice.getPartsList()) {
            SharedFollower follower = followers.get(part.getPrefix());
            if (follower != null) {
                StoreRevision before = follower.revision();
                whole &= follower.take(part);
                passOn(follower, before, sender);
            }
        }
        if (!notice.getWatching() || isBehind(notice)) {
            suspect(sender);
        }
        if (!whole) {
            ask(sender);
        }
    }

    /** The sender may have been suspended or cut off: what it follows ended with an earlier era of the store. */
    private boolean isBehind(StoreNotice notice) {
        return notice.getEra() < eras().newest();
    }

    private StoreNotice.Builder notice() {
        return StoreNotice.newBuilder().setEra(eras().newest());
    }

    /** What a watcher hears of another data centre is news to its own: the store may turn this one away. */
    private void passOn(SharedFollower follower, StoreRevision before, NodeId sender) {
        boolean news = follower.revision().isAfter(before);
        if (news && !ports.peers().ownDataCentre().contains(sender)) {
            tellOwnDataCentre(notice().addParts(follower.since(before)));
        }
    }

    private void tellOwnDataCentre(StoreNotice.Builder news) {
        if (!isWatcher()) {
            return;
        }
        ImmutableSet<NodeId> members = ports.peers().ownDataCentre();
        ByteString body = news.setWatching(storeAnswers).build().toByteString();
        members.stream()
                .filter(node -> !node.equals(self))
                .forEach(node -> ports.peers().send(node, body));
    }

    /** Takes what the followers hear of the store. */
    private final class FollowerOwner implements SharedFollower.Owner {

        @Override
        public void onNews(SharedFollower follower) {
            if (follower.revision().isAfter(follower.told())) {
                tellOwnDataCentre(notice().addParts(follower.since(follower.told())));
            }
        }

        @Override
        public void onStore(boolean answered) {
            onStoreCall(answered);
        }
    }
}
