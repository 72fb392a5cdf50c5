package io.beryldock.forwarding;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.beryldock.call.Call;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Headers;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceName;
import io.beryldock.configuration.ClassSetting;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.RetrySetting;
import io.beryldock.configuration.Route;
import io.beryldock.configuration.Setting;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.peer.PeerException;
import io.beryldock.time.ManualTimerService;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Nodes with targets of four services that call each other, on one clock that tests advance.
 *
 * <p>Entry, attempts, peer calls, gates and retry budgets are those of the product; targets, links and the membership
 * are replaced. Seeded; used on one thread.
 */
final class RetryFleet {

    static final ServiceName LISTS = ServiceName.of("lists");
    static final ServiceName ORDERS = ServiceName.of("orders");
    static final ServiceName CATALOGUE = ServiceName.of("catalogue");
    static final ServiceName HOLDINGS = ServiceName.of("holdings");

    static final double SHARE = 0.2;

    /** Nodes use none of the contract's slack, so none is allowed here. */
    static final int SLACK = 0;

    static final Duration WINDOW = Duration.ofSeconds(10);

    static final ImmutableList<ServiceName> SERVICES = ImmutableList.of(LISTS, ORDERS, CATALOGUE, HOLDINGS);
    private static final int DATA_CENTRES = 3;
    private static final int RETRIES = 3;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration LINK_DELAY = Duration.ofMillis(1);
    private static final Duration WORK = Duration.ofMillis(5);
    private static final Duration TIME_LIMIT = Duration.ofSeconds(5);

    /** A node that starts knows only itself until its first view of the membership arrives. */
    private static final Duration VIEW_DELAY = Duration.ofMillis(300);

    /** Calls of one run, in order. */
    private static final ImmutableMap<ServiceName, ImmutableList<ServiceName>> INNER_CALLS = ImmutableMap.of(
            LISTS, ImmutableList.of(ORDERS, ORDERS),
            ORDERS, ImmutableList.of(CATALOGUE),
            CATALOGUE, ImmutableList.of(HOLDINGS, HOLDINGS, HOLDINGS, HOLDINGS),
            HOLDINGS, ImmutableList.of());

    /** Shares of callers' requests by service, in the order of the services. */
    private static final double[] MIX = {0.48, 0.18, 0.23, 0.11};

    final ManualTimerService time = ManualTimerService.create();
    final Random random;
    final RepeatCount count = new RepeatCount(SHARE, SLACK, WINDOW);
    final Configuration configuration = configuration();
    private final List<RetryFleetNode> nodes = new ArrayList<>();
    private final Set<DataCentre> cut = new HashSet<>();
    private final Map<ServiceName, Double> refusedShares = new HashMap<>();
    private final Map<ServiceName, Double> lostShares = new HashMap<>();
    private final Map<ServiceName, Double> droppedShares = new HashMap<>();
    private final Map<ServiceName, Double> unreachableShares = new HashMap<>();
    private double requestsPerSecond = 60;
    private double unevenness;
    private long answered;
    private long ended;
    private long nextId;

    RetryFleet(long seed, int nodesPerService) {
        random = new Random(seed);
        for (int i = 0; i < nodesPerService * SERVICES.size(); i++) {
            DataCentre centre = DataCentre.of("gent-" + i / SERVICES.size() % DATA_CENTRES);
            nodes.add(new RetryFleetNode(this, i, centre, SERVICES.get(i % SERVICES.size())));
        }
        nodes.forEach(RetryFleetNode::start);
        time.advance(VIEW_DELAY.multipliedBy(2));
    }

    private static Configuration configuration() {
        List<Setting> settings = new ArrayList<>();
        settings.add(new ClassSetting(PriorityClass.of("reads", 2)));
        settings.add(new RetrySetting(RetrySetting.STANDARD, RETRIES, SHARE));
        for (ServiceName service : SERVICES) {
            settings.add(new Route(
                    "/" + service.value(),
                    ImmutableSet.of(),
                    service,
                    "reads",
                    true,
                    TIME_LIMIT,
                    RetrySetting.STANDARD));
        }
        return Configuration.imported(1, settings);
    }

    /** Sets the callers' requests per second, over all nodes. */
    void load(double perSecond) {
        requestsPerSecond = perSecond;
    }

    /** Sends the callers' requests to few nodes: 0 for all alike, 1 for nearly all to the first. */
    void uneven(double share) {
        unevenness = share;
    }

    /** Lets the targets of a service refuse a share of what arrives, without running it. */
    void refuse(ServiceName service, double share) {
        refusedShares.put(service, share);
    }

    /** Lets the targets of a service lose a share of the answers to what they ran. */
    void lose(ServiceName service, double share) {
        lostShares.put(service, share);
    }

    /** Lets a share of the connections to the targets of a service fail before anything is sent. */
    void disconnect(ServiceName service, double share) {
        unreachableShares.put(service, share);
    }

    /** Lets the targets of a service lose a share of their connections as a run begins; the runs go on. */
    void drop(ServiceName service, double share) {
        droppedShares.put(service, share);
    }

    /** Cuts all links between the data centre and the others; each side loses the other from its view. */
    void cut(int dataCentre) {
        cut.add(DataCentre.of("gent-" + dataCentre));
    }

    void heal() {
        cut.clear();
    }

    /** Kills a share of the nodes at once and starts them again after the pause, all at the same moment. */
    void killAndStart(double share, Duration pause) {
        List<RetryFleetNode> killed =
                nodes.stream().filter(node -> random.nextDouble() < share).toList();
        killed.forEach(RetryFleetNode::kill);
        time.after(pause, () -> killed.forEach(RetryFleetNode::start));
    }

    void run(Duration length) {
        long end = now() + length.toNanos();
        while (now() < end) {
            double expected = requestsPerSecond * STEP.toMillis() / 1000;
            int sending = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int i = 0; i < sending; i++) {
                sendRoot();
            }
            time.advance(STEP);
        }
    }

    private void sendRoot() {
        int bound = Math.max(1, (int) Math.round(nodes.size() * (1 - unevenness)));
        RetryFleetNode entry = nodes.get(random.nextInt(bound));
        String id = "r" + nextId++;
        ServiceName service = drawService();
        entry.sendRequest(service, id, TIME_LIMIT).thenAccept(succeeded -> {
            ended++;
            answered += succeeded ? 1 : 0;
        });
    }

    private ServiceName drawService() {
        double drawn = random.nextDouble();
        int i = 0;
        while (i < MIX.length - 1 && drawn >= MIX[i]) {
            drawn -= MIX[i];
            i++;
        }
        return SERVICES.get(i);
    }

    /** Returns the repeats that the running nodes sent to their targets. */
    long sentRepeats() {
        return nodes.stream().mapToLong(RetryFleetNode::sentRepeats).sum();
    }

    /** Runs for the time; returns the share of the callers' requests ending in it that were answered with success. */
    double answeredShareWhileRunning(Duration length) {
        long answeredBefore = answered;
        long endedBefore = ended;
        run(length);
        return (double) (answered - answeredBefore) / Math.max(1, ended - endedBefore);
    }

    long now() {
        return time.ticker().nanos();
    }

    Duration viewDelay() {
        return VIEW_DELAY;
    }

    /** Returns the view that a node has once it has learned of the others. */
    Directory directorySeenBy(RetryFleetNode viewer) {
        List<NodeDescriptor> known = new ArrayList<>();
        List<TargetRecord> targets = new ArrayList<>();
        for (RetryFleetNode node : nodes) {
            if (node.isAlive() && isLinked(viewer, node)) {
                known.add(node.descriptor());
                targets.add(new TargetRecord(node.descriptor(), node.service(), 200, TargetState.READY, 1));
            }
        }
        return Directory.of(known, targets);
    }

    private boolean isLinked(RetryFleetNode one, RetryFleetNode other) {
        return one.dataCentre().equals(other.dataCentre())
                || (!cut.contains(one.dataCentre()) && !cut.contains(other.dataCentre()));
    }

    /** Carries a call from one node to the node of its target. */
    CompletableFuture<ByteString> carry(RetryFleetNode from, InetSocketAddress to, ByteString call, Duration timeout) {
        CompletableFuture<ByteString> reply = new CompletableFuture<>();
        RetryFleetNode receiver = nodes.get(to.getPort() - 1);
        if (!receiver.isAlive()) {
            reply.completeExceptionally(new PeerException(PeerException.Kind.NOT_SENT, "connection refused"));
            return reply;
        }
        time.after(
                timeout,
                () -> reply.completeExceptionally(new PeerException(PeerException.Kind.TIMED_OUT, "no reply")));
        time.after(LINK_DELAY, () -> {
            if (isLinked(from, receiver)) {
                receiver.receive(from, call, reply);
            }
        });
        return reply;
    }

    /** One run of the target beside a node, which continues when the node's process is killed. */
    CompletableFuture<TargetReply> arriveAtTarget(RetryFleetNode node, Call call) {
        if (random.nextDouble() < unreachableShares.getOrDefault(node.service(), 0.0)) {
            CompletableFuture<TargetReply> unsent = new CompletableFuture<>();
            time.after(LINK_DELAY, () -> unsent.complete(TargetReply.notSent("connection refused")));
            return unsent;
        }
        String id = call.headers().first(RetryFleetNode.ID).orElseThrow();
        boolean repeat = count.arrived(node.service(), id, RetryFleetNode.isMadeByRepeatedRun(call), now());
        CompletableFuture<TargetReply> reply = new CompletableFuture<>();
        if (random.nextDouble() < refusedShares.getOrDefault(node.service(), 0.0)) {
            time.after(LINK_DELAY, () -> reply.complete(TargetReply.refused("busy")));
            return reply;
        }
        if (random.nextDouble() < droppedShares.getOrDefault(node.service(), 0.0)) {
            time.after(LINK_DELAY, () -> reply.complete(TargetReply.lost("reset")));
        }
        Duration limit = Duration.ofNanos(call.context().remainingNanos()).minus(WORK);
        time.after(WORK, () -> makeInnerCalls(node, id, repeat, limit, 0, reply));
        return reply;
    }

    private void makeInnerCalls(
            RetryFleetNode node,
            String parent,
            boolean repeat,
            Duration limit,
            int made,
            CompletableFuture<TargetReply> reply) {
        ImmutableList<ServiceName> calls = INNER_CALLS.get(node.service());
        if (made == calls.size()) {
            boolean lost = random.nextDouble() < lostShares.getOrDefault(node.service(), 0.0);
            reply.complete(lost ? TargetReply.lost("reset") : TargetReply.answered(RetryFleetNode.answer(200)));
            return;
        }
        String id = parent + "." + (repeat ? "again" : "") + nextId++;
        node.sendInnerRequest(calls.get(made), id, parent, repeat, limit).thenAccept(succeeded -> {
            if (succeeded) {
                makeInnerCalls(node, parent, repeat, limit, made + 1, reply);
            } else {
                reply.complete(TargetReply.answered(RetryFleetNode.answer(500)));
            }
        });
    }

    static Headers headers(String id, boolean madeByRepeatedRun) {
        return Headers.empty()
                .with(RetryFleetNode.ID, id)
                .with(RetryFleetNode.REPEATED_RUN, Boolean.toString(madeByRepeatedRun));
    }

    static NodeId nodeId(int number) {
        return NodeId.of("n" + number);
    }
}
