package io.beryldock.store;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import io.beryldock.wire.StoreNotice;
import io.beryldock.wire.StorePart;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
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

    /** First look at the others: when all nodes start at once, some have written their entries by then. */
    private static final Duration SETTLE = Duration.ofMillis(500);

    /**
     * Time after the start in which a node that knows any entries leaves watching to others, as it does not know all of
     * them yet and may take itself for the watcher. 27 nodes that started at once made 480 calls of the store in their
     * first 15 s without it.
     */
    private static final long YOUTH = Duration.ofSeconds(3).toNanos();

    private final NodeId self;
    private final Ports ports;
    private final long startedAt;
    private final WatcherChoice choice;
    private final Map<String, SharedFollower> followers = new LinkedHashMap<>();
    private boolean storeAnswers = true;

    private StoreSharing(NodeId self, Ports ports) {
        this.self = self;
        this.ports = ports;
        this.startedAt = now(ports);
        this.choice = new WatcherChoice(self, startedAt);
    }

    /** What the sharing works with; the timers run on the control thread. */
    public record Ports(
            RegistryStore store,
            StoreRecovery recovery,
            StorePeers peers,
            TimerService timers,
            RandomGenerator random) {}

    public static StoreSharing create(NodeId self, Ports ports) {
        StoreSharing sharing = new StoreSharing(self, ports);
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
        SharedFollower follower = new SharedFollower(
                prefix, gather, listener, new FollowerOwner(), ports.store(), ports.timers(), ports.random());
        followers.put(prefix, follower);
        ports.recovery().subscribe(follower::refresh);
        follower.start();
    }

    /** Takes a message of another node; only a question is replied to. */
    public void onMessage(NodeId sender, ByteString body, Consumer<ByteString> reply) {
        StoreNotice notice;
        try {
            notice = StoreNotice.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            log.atWarning().withCause(e).atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "node %s sent a malformed notice of the store", sender);
            return;
        }
        if (notice.getQuestion()) {
            reply.accept(answerTo(notice).toByteString());
        } else {
            take(sender, notice);
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
        }
    }

    /**
     * A short call of the store, so that a watcher that the store turns away in silence is known as one within two
     * seconds and not only when its long watch ends.
     */
    private void probe() {
        TimerThread.hear(ports.timers(), ports.store().probe(), (done, failure) -> onStoreCall(failure == null));
    }

    private void onStoreCall(boolean answered) {
        boolean changed = storeAnswers != answered;
        storeAnswers = answered;
        if (changed) {
            tellOwnDataCentre(StoreNotice.newBuilder());
        }
        ports.recovery().onCall(answered);
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
        StoreNotice.Builder question = StoreNotice.newBuilder().setQuestion(true);
        followers.forEach((prefix, follower) ->
                question.addParts(StorePart.newBuilder().setPrefix(prefix).setRevision(follower.revision())));
        TimerThread.hear(
                ports.timers(),
                ports.peers().ask(node, question.build().toByteString()),
                (answer, failure) -> onAnswer(node, answer, failure));
    }

    private void onAnswer(NodeId node, ByteString answer, Throwable failure) {
        if (failure != null) {
            suspect(node);
            return;
        }
        onMessage(node, answer, unused -> {});
    }

    /** The next node in rank may be this one: it watches at once. */
    private void suspect(NodeId node) {
        choice.suspect(node, now(ports));
        elect();
    }

    private StoreNotice answerTo(StoreNotice question) {
        StoreNotice.Builder answer = StoreNotice.newBuilder().setWatching(watching());
        for (StorePart known : question.getPartsList()) {
            SharedFollower follower = followers.get(known.getPrefix());
            if (follower != null && follower.revision() > known.getRevision()) {
                answer.addParts(follower.since(known.getRevision()));
            }
        }
        return answer.build();
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
                long before = follower.revision();
                whole &= follower.take(part);
                passOn(follower, before, sender);
            }
        }
        if (!notice.getWatching()) {
            suspect(sender);
        }
        if (!whole) {
            ask(sender);
        }
    }

    /** What a watcher hears of another data centre is news to its own: the store may turn this one away. */
    private void passOn(SharedFollower follower, long before, NodeId sender) {
        boolean news = follower.revision() > before;
        if (news && !ports.peers().ownDataCentre().contains(sender)) {
            tellOwnDataCentre(StoreNotice.newBuilder().addParts(follower.since(before)));
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
            if (follower.revision() > follower.told()) {
                tellOwnDataCentre(StoreNotice.newBuilder().addParts(follower.since(follower.told())));
            }
        }

        @Override
        public void onStore(boolean answered) {
            onStoreCall(answered);
        }
    }
}
