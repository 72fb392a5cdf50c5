package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import io.beryldock.call.DataCentre;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import io.beryldock.wire.ConfigurationMessage;
import io.beryldock.wire.ConfigurationSurvey;
import io.beryldock.wire.ConfigurationSurveyReply;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Surveys which version each node holds, by way of a tree of delegates: one node of each data centre gets the request
 * for the whole data centre, splits its nodes into {@link #FAN_OUT} groups, forwards the request to one node of each
 * group, and so on.
 *
 * <p>Confined to the control thread. A survey costs each node about one request and one reply, and no node more than a
 * few. A delegate that does not reply is replaced once by another node of its group; after that, the whole group counts
 * as not answering.
 */
final class InForceSurvey {

    static final int FAN_OUT = 8;

    private static final int TRIES = 2;
    /**
     * Share of the time for one try that the delegate may use, so that its reply arrives before the next try starts.
     */
    private static final double DELEGATE_TIME_SHARE = 0.8;

    private static final Duration ROUND_TIME = Duration.ofSeconds(3);
    private static final Duration BETWEEN_ROUNDS = Duration.ofMillis(500);

    private final NodeDescriptor self;
    private final ActiveConfiguration activeConfiguration;
    private final Messenger messenger;
    private final Supplier<PeerSelection> selection;
    private final TimerService timers;
    private final RandomGenerator random;
    private final Map<Long, Consumer<SurveyTally>> pending = new HashMap<>();

    private InForceSurvey(
            NodeDescriptor self,
            ActiveConfiguration activeConfiguration,
            Messenger messenger,
            Supplier<PeerSelection> selection,
            TimerService timers,
            RandomGenerator random) {
        this.self = self;
        this.activeConfiguration = activeConfiguration;
        this.messenger = messenger;
        this.selection = selection;
        this.timers = timers;
        this.random = random;
    }

    static InForceSurvey create(
            NodeDescriptor self,
            ActiveConfiguration activeConfiguration,
            Messenger messenger,
            Supplier<PeerSelection> selection,
            TimerService timers,
            RandomGenerator random) {
        return new InForceSurvey(self, activeConfiguration, messenger, selection, timers, random);
    }

    /**
     * Surveys all data centres, then repeats the survey for those where some nodes lack the version, until the time is
     * over.
     */
    CompletableFuture<InForceReport> await(long version, Duration time) {
        long end = ticker().nanos() + time.toNanos();
        Map<DataCentre, SurveyTally> tallies = new TreeMap<>();
        selection
                .get()
                .members()
                .forEach((dataCentre, nodes) -> tallies.put(dataCentre, SurveyTally.unanswered(nodes)));
        return startRound(version, end, tallies);
    }

    private CompletableFuture<InForceReport> startRound(long version, long end, Map<DataCentre, SurveyTally> tallies) {
        long remaining = end - ticker().nanos();
        List<DataCentre> incomplete = tallies.keySet().stream()
                .filter(dataCentre -> tallies.get(dataCentre).holding()
                        < tallies.get(dataCentre).nodes())
                .toList();
        if (remaining <= 0 || incomplete.isEmpty()) {
            return CompletableFuture.completedFuture(report(version, tallies));
        }
        Duration roundTime = Duration.ofNanos(Math.min(remaining, ROUND_TIME.toNanos()));
        List<CompletableFuture<SurveyTally>> answers = new ArrayList<>();
        ImmutableSortedMap<DataCentre, ImmutableList<NodeDescriptor>> members =
                selection.get().members();
        for (DataCentre dataCentre : incomplete) {
            ImmutableList<NodeDescriptor> nodes = members.getOrDefault(dataCentre, ImmutableList.of());
            answers.add(surveyDataCentre(nodes, dataCentre, version, roundTime)
                    .thenApply(tally -> putTally(tallies, dataCentre, tally)));
        }
        return FutureLists.all(answers).thenCompose(done -> finishRound(version, end, tallies));
    }

    private static SurveyTally putTally(
            Map<DataCentre, SurveyTally> tallies, DataCentre dataCentre, SurveyTally tally) {
        tallies.put(dataCentre, tally);
        return tally;
    }

    private CompletableFuture<InForceReport> finishRound(long version, long end, Map<DataCentre, SurveyTally> tallies) {
        InForceReport report = report(version, tallies);
        if (report.everywhere() || ticker().nanos() + BETWEEN_ROUNDS.toNanos() >= end) {
            return CompletableFuture.completedFuture(report);
        }
        CompletableFuture<InForceReport> next = new CompletableFuture<>();
        timers.after(BETWEEN_ROUNDS, () -> startRound(version, end, tallies).thenAccept(next::complete));
        return next;
    }

    private static InForceReport report(long version, Map<DataCentre, SurveyTally> tallies) {
        ImmutableList.Builder<InForceReport.Line> lines = ImmutableList.builder();
        tallies.forEach((dataCentre, tally) -> lines.add(tally.line(dataCentre)));
        return new InForceReport(version, lines.build());
    }

    private CompletableFuture<SurveyTally> surveyDataCentre(
            ImmutableList<NodeDescriptor> nodes, DataCentre dataCentre, long version, Duration time) {
        return dataCentre.equals(self.dataCentre())
                ? surveyNodes(nodes, version, time)
                : surveyViaDelegate(nodes, version, time, TRIES);
    }

    /** Splits the nodes into groups and sums up the tallies of the groups. */
    private CompletableFuture<SurveyTally> surveyNodes(
            ImmutableList<NodeDescriptor> nodes, long version, Duration time) {
        if (nodes.isEmpty()) {
            return CompletableFuture.completedFuture(SurveyTally.EMPTY);
        }
        if (nodes.size() == 1 && isSelf(nodes.get(0))) {
            return CompletableFuture.completedFuture(
                    SurveyTally.ofNode(self.id(), activeConfiguration.current().version(), version));
        }
        int size = (nodes.size() + FAN_OUT - 1) / FAN_OUT;
        List<CompletableFuture<SurveyTally>> groups = new ArrayList<>();
        for (int from = 0; from < nodes.size(); from += size) {
            ImmutableList<NodeDescriptor> group = nodes.subList(from, Math.min(nodes.size(), from + size));
            boolean containsSelf = group.stream().anyMatch(this::isSelf);
            groups.add(
                    containsSelf ? surveyNodes(group, version, time) : surveyViaDelegate(group, version, time, TRIES));
        }
        return FutureLists.all(groups)
                .thenApply(tallies -> tallies.stream().reduce(SurveyTally.EMPTY, SurveyTally::plus));
    }

    private boolean isSelf(NodeDescriptor node) {
        return node.id().equals(self.id());
    }

    /** Requests the tally of a whole group from one of its nodes. */
    private CompletableFuture<SurveyTally> surveyViaDelegate(
            ImmutableList<NodeDescriptor> group, long version, Duration time, int tries) {
        if (tries == 0 || group.isEmpty()) {
            return CompletableFuture.completedFuture(SurveyTally.unanswered(group));
        }
        Duration tryTime = time.dividedBy(tries);
        long id = random.nextLong();
        CompletableFuture<SurveyTally> answer = new CompletableFuture<>();
        pending.put(id, answer::complete);
        NodeDescriptor delegate = group.get(random.nextInt(group.size()));
        messenger.send(delegate.peerAddress(), surveyRequest(id, group, version, tryTime));
        TimerService.Subscription timer = timers.after(
                tryTime,
                () -> surveyViaDelegate(group, version, time.minus(tryTime), tries - 1)
                        .thenAccept(answer::complete));
        return answer.whenComplete((tally, failure) -> {
            timer.cancel();
            pending.remove(id);
        });
    }

    private static ConfigurationMessage.Builder surveyRequest(
            long id, List<NodeDescriptor> group, long version, Duration time) {
        ConfigurationSurvey survey = ConfigurationSurvey.newBuilder()
                .setId(id)
                .setVersion(version)
                .setFrom(PeerSelection.ringHash(group.get(0).id()))
                .setTo(PeerSelection.ringHash(group.get(group.size() - 1).id()))
                .setTimeMillis((int) (time.toMillis() * DELEGATE_TIME_SHARE))
                .build();
        return ConfigurationMessage.newBuilder().setSurvey(survey);
    }

    void onSurvey(InetSocketAddress peer, ConfigurationSurvey survey) {
        ImmutableList<NodeDescriptor> range = selection.get().ring().stream()
                .filter(node -> isWithin(PeerSelection.ringHash(node.id()), survey))
                .collect(ImmutableList.toImmutableList());
        surveyNodes(range, survey.getVersion(), Duration.ofMillis(survey.getTimeMillis()))
                .thenAccept(tally -> messenger.send(
                        peer, ConfigurationMessage.newBuilder().setSurveyReply(tally.encode(survey.getId()))));
    }

    private static boolean isWithin(long hash, ConfigurationSurvey survey) {
        return hash >= survey.getFrom() && hash <= survey.getTo();
    }

    void onReply(ConfigurationSurveyReply reply) {
        Consumer<SurveyTally> handler = pending.get(reply.getId());
        if (handler != null) {
            handler.accept(SurveyTally.decode(reply));
        }
    }

    private Ticker ticker() {
        return timers.ticker();
    }
}
