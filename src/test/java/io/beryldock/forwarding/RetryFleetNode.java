package io.beryldock.forwarding;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.admission.EntryShedder;
import io.beryldock.admission.GateSettings;
import io.beryldock.admission.TargetGate;
import io.beryldock.call.Answer;
import io.beryldock.call.Call;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceName;
import io.beryldock.credit.NoCredits;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.peer.PeerException;
import io.beryldock.peer.PeerHandler;
import io.beryldock.peer.PeerTopic;
import io.beryldock.peer.PeerTransport;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.retry.ArrivalBudget;
import io.beryldock.retry.ArrivalControl;
import io.beryldock.retry.ArrivalKind;
import io.beryldock.retry.Backoff;
import io.beryldock.retry.RetryBudget;
import io.beryldock.retry.RetryBudgets;
import io.beryldock.retry.RetryGate;
import io.beryldock.retry.RetryLedger;
import io.beryldock.retry.RetryPolicy;
import io.beryldock.retry.RetryPolicySettings;
import io.beryldock.routing.ChooserSettings;
import io.beryldock.routing.TargetChooser;
import io.beryldock.settings.NodeSettings.Policy;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.timeline.RefusalCounter;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** A node of a {@link RetryFleet}: its processes one after the other, and the target beside them. */
final class RetryFleetNode {

    /** Header with the id of a request, by which its inner calls name their parent. */
    static final String ID = "Request-Id";

    /** Header that tells the fleet's count, and nobody else, whether a repeated run made the call. */
    static final String REPEATED_RUN = "Made-By-Repeated-Run";

    private static final int RESENDS = 6;
    private static final int SLOTS = 200;

    private final RetryFleet fleet;
    private final int number;
    private final DataCentre dataCentre;
    private final ServiceName service;
    private final InetSocketAddress address;
    private Optional<RunningProcess> process = Optional.empty();

    RetryFleetNode(RetryFleet fleet, int number, DataCentre dataCentre, ServiceName service) {
        this.fleet = fleet;
        this.number = number;
        this.dataCentre = dataCentre;
        this.service = service;
        this.address = InetSocketAddress.createUnresolved("127.0.0.1", number + 1);
    }

    static Answer answer(int status) {
        return new Answer(status, Headers.empty(), ByteString.EMPTY);
    }

    static boolean isMadeByRepeatedRun(Call call) {
        return call.headers().first(REPEATED_RUN).filter("true"::equals).isPresent();
    }

    DataCentre dataCentre() {
        return dataCentre;
    }

    ServiceName service() {
        return service;
    }

    boolean isAlive() {
        return process.isPresent();
    }

    NodeDescriptor descriptor() {
        return process.orElseThrow().descriptor;
    }

    /** Returns the number of repeats that the process sent to its target; 0 while none runs. */
    long sentRepeats() {
        return process.map(running -> running.arrivals.tally().rows().entrySet().stream()
                        .filter(row -> row.getKey().kind() != ArrivalKind.FIRST)
                        .mapToLong(row -> row.getValue().arrived())
                        .sum())
                .orElse(0L);
    }

    void start() {
        process = Optional.of(new RunningProcess());
    }

    /** Ends the process; what it had under way is lost, and nothing that it does later has an effect. */
    void kill() {
        process.ifPresent(RunningProcess::kill);
        process = Optional.empty();
    }

    CompletableFuture<Boolean> sendRequest(ServiceName called, String id, Duration limit) {
        fleet.count.sent(called, fleet.now());
        return send(called, RetryFleet.headers(id, false), Optional.empty(), limit);
    }

    CompletableFuture<Boolean> sendInnerRequest(
            ServiceName called, String id, String parent, boolean madeByRepeatedRun, Duration limit) {
        if (!madeByRepeatedRun) {
            fleet.count.sent(called, fleet.now());
        }
        return send(called, RetryFleet.headers(id, madeByRepeatedRun), Optional.of(parent), limit);
    }

    private CompletableFuture<Boolean> send(
            ServiceName called, Headers headers, Optional<String> parent, Duration limit) {
        if (!isAlive() || limit.isNegative()) {
            return CompletableFuture.completedFuture(false);
        }
        return process.get().handle(called, headers, parent, limit);
    }

    void receive(RetryFleetNode from, ByteString call, CompletableFuture<ByteString> reply) {
        if (isAlive()) {
            process.get().receive(from, call, reply);
        } else {
            reply.completeExceptionally(new PeerException(PeerException.Kind.LOST, "connection reset"));
        }
    }

    /** One process of the node, with what it knows. */
    private final class RunningProcess implements PeerTransport {
        private final ManualTimerService time = fleet.time;
        private final Incarnation incarnation = Incarnation.random(fleet.random);
        private final NodeDescriptor descriptor =
                new NodeDescriptor(RetryFleet.nodeId(number), incarnation, dataCentre, address);
        private final List<CompletableFuture<ByteString>> unanswered = new ArrayList<>();
        private final List<CompletableFuture<Boolean>> unended = new ArrayList<>();
        private final long startedAt = fleet.now();
        private final ArrivalControl arrivals = ArrivalControl.create(
                time.ticker(), new ArrivalBudget.Limits(0.95 * RetryFleet.SHARE, RetryFleet.WINDOW));
        private final Quarantine quarantine = TargetFixtures.quarantine(time);
        private final ExecutionRegistry executions =
                ExecutionRegistry.create(call -> call.headers().first(ID));
        private final RetryLedger ledger = RetryLedger.create();
        private final RequestIds ids = RequestIds.of(incarnation);
        private final EntryShedder shedder = EntryShedder.create(time.ticker(), fleet.random, EventSink.none());
        private final EntryService entry;
        private final PeerCallServer server;
        private boolean killed;

        RunningProcess() {
            TargetExecutor executor = newExecutor();
            server = PeerCallServer.create(executor);
            entry = newEntry(newForwarder(executor));
        }

        private TargetExecutor newExecutor() {
            TargetGate gate = TargetGate.create(
                    GateSettings.ofAnnouncedSlots().withAnnouncedSlots(SLOTS),
                    time,
                    fleet.random,
                    EventSink.none(),
                    service);
            AnnouncedTarget target = new AnnouncedTarget(service, address, gate);
            TargetCrashDetector crashes = TargetFixtures.crashDetector(TargetProcessState.GOES_ON, quarantine, time);
            return TargetExecutor.create(new TargetExecutor.Ports(
                    () -> Optional.of(target),
                    this::send,
                    executions,
                    ledger,
                    quarantine,
                    null,
                    crashes,
                    load -> {},
                    arrivals,
                    time,
                    EventSink.none()));
        }

        private CallForwarder newForwarder(TargetExecutor executor) {
            return CallForwarder.create(new CallForwarder.Ports(
                    descriptor.id(),
                    Policy.FULL,
                    this::directory,
                    TargetChooser.create(
                            dataCentre, fleet.random, time.ticker(), EventSink.none(), ChooserSettings.defaults()),
                    executor,
                    PeerCallClient.create(this),
                    shedder,
                    RetryGate.create(RetryPolicy.create(new RetryPolicySettings(RESENDS, true)), EventSink.none()),
                    RetryBudgets.ofCallees(called -> RetryBudget.limitedOnArrival(time.ticker())),
                    RetryTally.create(),
                    Backoff.create(fleet.random, Duration.ofMillis(5), Duration.ofMillis(50)),
                    quarantine,
                    node -> {},
                    ids,
                    time,
                    EventSink.none()));
        }

        private EntryService newEntry(CallForwarder forwarder) {
            RootAdmission admission = RootAdmission.create(
                    new RootAdmission.Ports(Policy.FULL, shedder, new NoCredits(), null, time.ticker()));
            return EntryService.create(new EntryService.Ports(
                    Policy.FULL,
                    () -> fleet.configuration,
                    CallerAccess.unbounded(),
                    null,
                    admission,
                    ledger,
                    executions,
                    InnerCallDetector.create(executions, () -> Optional.of(service), time.ticker()),
                    forwarder,
                    (call, identity) -> {
                        throw new IllegalStateException("no request has a key");
                    },
                    ids,
                    () -> 0,
                    fleet.random,
                    time.ticker(),
                    RequestTally.create(),
                    RequestJournal.create(
                            RefusalCounter.create(time.ticker()),
                            RefusalSummary.start(ManualTimerService.create()),
                            EventSink.none())));
        }

        private Directory directory() {
            if (fleet.now() - startedAt < fleet.viewDelay().toNanos()) {
                return Directory.of(
                        ImmutableList.of(descriptor),
                        ImmutableList.of(new TargetRecord(descriptor, service, SLOTS, TargetState.READY, 1)));
            }
            return fleet.directorySeenBy(RetryFleetNode.this);
        }

        private TargetExchange send(Call call, BooleanSupplier sendable) {
            if (!sendable.getAsBoolean()) {
                return TargetExchange.unabortable(CompletableFuture.completedFuture(TargetReply.notSent("withdrawn")));
            }
            return TargetExchange.unabortable(
                    killed ? new CompletableFuture<>() : fleet.arriveAtTarget(RetryFleetNode.this, call));
        }

        CompletableFuture<Boolean> handle(
                ServiceName called, Headers headers, Optional<String> parent, Duration limit) {
            CompletableFuture<Boolean> succeeded = new CompletableFuture<>();
            unended.add(succeeded);
            String id = headers.first(ID).orElseThrow();
            IncomingRequest request = new IncomingRequest(
                    IncomingRequest.Origin.EITHER,
                    "GET",
                    "/" + called.value() + "/" + id,
                    headers,
                    ByteString.EMPTY,
                    Optional.empty(),
                    Optional.empty(),
                    id,
                    "",
                    Optional.of(limit),
                    ImmutableList.of(),
                    parent);
            entry.handle(request, CancelScope.create())
                    .thenAccept(outcome -> succeeded.complete(outcome.result().succeeded()));
            return succeeded;
        }

        void receive(RetryFleetNode from, ByteString call, CompletableFuture<ByteString> reply) {
            unanswered.add(reply);
            server.handle(new PeerHandler.PeerMessage() {
                @Override
                public String sender() {
                    return RetryFleet.nodeId(from.number).value();
                }

                @Override
                public ByteString body() {
                    return call;
                }

                @Override
                public void reply(ByteString body) {
                    reply.complete(body);
                }

                @Override
                public void onCancel(Runnable task) {
                    reply.whenComplete((done, failure) -> {
                        if (reply.isCancelled()) {
                            task.run();
                        }
                    });
                }
            });
        }

        void kill() {
            killed = true;
            List.copyOf(unanswered)
                    .forEach(reply -> reply.completeExceptionally(
                            new PeerException(PeerException.Kind.LOST, "connection reset")));
            List.copyOf(unended).forEach(succeeded -> succeeded.complete(false));
        }

        @Override
        public CompletableFuture<ByteString> request(
                InetSocketAddress peer, PeerTopic topic, ByteString body, Duration timeout) {
            return killed ? new CompletableFuture<>() : fleet.carry(RetryFleetNode.this, peer, body, timeout);
        }

        @Override
        public void send(InetSocketAddress peer, PeerTopic topic, ByteString body) {}

        @Override
        public void registerHandler(PeerTopic topic, PeerHandler handler) {}
    }
}
