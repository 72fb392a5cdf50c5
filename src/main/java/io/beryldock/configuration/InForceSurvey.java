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
 * Asks every node which version it holds, through a tree: one node of each data centre is asked for all of it, splits
 * its nodes into {@link #FAN_OUT} groups, asks one node of each for the whole group, and so on.
 *
 * <p>On the control thread only. A survey costs each node about one question and one answer, and nobody more than a
 * few. A node that does not answer is replaced once by another of its group, then the group counts as silent.
 */
final class InForceSurvey {

    static final int FAN_OUT = 8;

    private static final int TRIES = 2;
    /** Part of the time for one try that the node asked may use, so that its answer comes before the next try. */
    private static final double PART_FOR_DELEGATE = 0.8;

    private static final Duration ROUND_TIME = Duration.ofSeconds(3);
    private static final Duration BETWEEN_ROUNDS = Duration.ofMillis(500);

    private final NodeDescriptor self;
    private final ConfigurationKeeper keeper;
    private final Messenger messenger;
    private final Supplier<PeerChoice> choice;
    private final TimerService timers;
    private final RandomGenerator random;
    private final Map<Long, Consumer<SurveyTally>> waiting = new HashMap<>();

    private InForceSurvey(
            NodeDescriptor self,
            ConfigurationKeeper keeper,
            Messenger messenger,
            Supplier<PeerChoice> choice,
            TimerService timers,
            RandomGenerator random) {
        this.self = self;
        this.keeper = keeper;
        this.messenger = messenger;
        this.choice = choice;
        this.timers = timers;
        this.random = random;
    }

    static InForceSurvey create(
            NodeDescriptor self,
            ConfigurationKeeper keeper,
            Messenger messenger,
            Supplier<PeerChoice> choice,
            TimerService timers,
            RandomGenerator random) {
        return new InForceSurvey(self, keeper, messenger, choice, timers, random);
    }

    /** Surveys all data centres, and those where the version is not yet everywhere again until the time is over. */
    CompletableFuture<InForceReport> await(long version, Duration time) {
        long end = ticker().nanos() + time.toNanos();
        Map<DataCentre, SurveyTally> tallies = new TreeMap<>();
        choice.get().members().forEach((place, nodes) -> tallies.put(place, SurveyTally.silent(nodes)));
        return round(version, end, tallies);
    }

    private CompletableFuture<InForceReport> round(long version, long end, Map<DataCentre, SurveyTally> tallies) {
        long left = end - ticker().nanos();
        List<DataCentre> open = tallies.keySet().stream()
                .filter(place ->
                        tallies.get(place).holding() < tallies.get(place).nodes())
                .toList();
        if (left <= 0 || open.isEmpty()) {
            return CompletableFuture.completedFuture(report(version, tallies));
        }
        Duration roundTime = Duration.ofNanos(Math.min(left, ROUND_TIME.toNanos()));
        List<CompletableFuture<SurveyTally>> answers = new ArrayList<>();
        ImmutableSortedMap<DataCentre, ImmutableList<NodeDescriptor>> members =
                choice.get().members();
        for (DataCentre place : open) {
            ImmutableList<NodeDescriptor> nodes = members.getOrDefault(place, ImmutableList.of());
            answers.add(gather(nodes, place, version, roundTime).thenApply(tally -> note(tallies, place, tally)));
        }
        return FutureLists.all(answers).thenCompose(done -> pause(version, end, tallies));
    }

    private static SurveyTally note(Map<DataCentre, SurveyTally> tallies, DataCentre place, SurveyTally tally) {
        tallies.put(place, tally);
        return tally;
    }

    private CompletableFuture<InForceReport> pause(long version, long end, Map<DataCentre, SurveyTally> tallies) {
        InForceReport report = report(version, tallies);
        if (report.everywhere() || ticker().nanos() + BETWEEN_ROUNDS.toNanos() >= end) {
            return CompletableFuture.completedFuture(report);
        }
        CompletableFuture<InForceReport> next = new CompletableFuture<>();
        timers.after(BETWEEN_ROUNDS, () -> round(version, end, tallies).thenAccept(next::complete));
        return next;
    }

    private static InForceReport report(long version, Map<DataCentre, SurveyTally> tallies) {
        ImmutableList.Builder<InForceReport.Line> lines = ImmutableList.builder();
        tallies.forEach((place, tally) -> lines.add(tally.line(place)));
        return new InForceReport(version, lines.build());
    }

    private CompletableFuture<SurveyTally> gather(
            ImmutableList<NodeDescriptor> nodes, DataCentre place, long version, Duration time) {
        return place.equals(self.dataCentre()) ? split(nodes, version, time) : ask(nodes, version, time, TRIES);
    }

    /** Sums up the groups that the nodes fall into. */
    private CompletableFuture<SurveyTally> split(ImmutableList<NodeDescriptor> nodes, long version, Duration time) {
        if (nodes.isEmpty()) {
            return CompletableFuture.completedFuture(SurveyTally.EMPTY);
        }
        if (nodes.size() == 1 && isSelf(nodes.get(0))) {
            return CompletableFuture.completedFuture(
                    SurveyTally.ofNode(self.id(), keeper.current().version(), version));
        }
        int size = (nodes.size() + FAN_OUT - 1) / FAN_OUT;
        List<CompletableFuture<SurveyTally>> groups = new ArrayList<>();
        for (int from = 0; from < nodes.size(); from += size) {
            ImmutableList<NodeDescriptor> group = nodes.subList(from, Math.min(nodes.size(), from + size));
            boolean own = group.stream().anyMatch(this::isSelf);
            groups.add(own ? split(group, version, time) : ask(group, version, time, TRIES));
        }
        return FutureLists.all(groups)
                .thenApply(tallies -> tallies.stream().reduce(SurveyTally.EMPTY, SurveyTally::plus));
    }

    private boolean isSelf(NodeDescriptor node) {
        return node.id().equals(self.id());
    }

    /** Asks one of the nodes for all of them. */
    private CompletableFuture<SurveyTally> ask(
            ImmutableList<NodeDescriptor> group, long version, Duration time, int tries) {
        if (tries == 0 || group.isEmpty()) {
            return CompletableFuture.completedFuture(SurveyTally.silent(group));
        }
        Duration tryTime = time.dividedBy(tries);
        long id = random.nextLong();
        CompletableFuture<SurveyTally> answer = new CompletableFuture<>();
        waiting.put(id, answer::complete);
        NodeDescriptor delegate = group.get(random.nextInt(group.size()));
        messenger.send(delegate.peerAddress(), question(id, group, version, tryTime));
        TimerService.Subscription timer = timers.after(
                tryTime,
                () -> ask(group, version, time.minus(tryTime), tries - 1).thenAccept(answer::complete));
        return answer.whenComplete((tally, failure) -> {
            timer.cancel();
            waiting.remove(id);
        });
    }

    private static ConfigurationMessage.Builder question(
            long id, List<NodeDescriptor> group, long version, Duration time) {
        ConfigurationSurvey survey = ConfigurationSurvey.newBuilder()
                .setId(id)
                .setVersion(version)
                .setFrom(PeerChoice.ringHash(group.get(0).id()))
                .setTo(PeerChoice.ringHash(group.get(group.size() - 1).id()))
                .setTimeMillis((int) (time.toMillis() * PART_FOR_DELEGATE))
                .build();
        return ConfigurationMessage.newBuilder().setSurvey(survey);
    }

    void onSurvey(InetSocketAddress peer, ConfigurationSurvey survey) {
        ImmutableList<NodeDescriptor> range = choice.get().ring().stream()
                .filter(node -> isWithin(PeerChoice.ringHash(node.id()), survey))
                .collect(ImmutableList.toImmutableList());
        split(range, survey.getVersion(), Duration.ofMillis(survey.getTimeMillis()))
                .thenAccept(tally -> messenger.send(
                        peer, ConfigurationMessage.newBuilder().setSurveyReply(tally.encode(survey.getId()))));
    }

    private static boolean isWithin(long hash, ConfigurationSurvey survey) {
        return hash >= survey.getFrom() && hash <= survey.getTo();
    }

    void onReply(ConfigurationSurveyReply reply) {
        Consumer<SurveyTally> waiter = waiting.get(reply.getId());
        if (waiter != null) {
            waiter.accept(SurveyTally.decode(reply));
        }
    }

    private Ticker ticker() {
        return timers.ticker();
    }
}
