package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import io.beryldock.call.DataCentre;
import io.beryldock.call.RequestId;
import io.beryldock.configuration.InForceReport;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.PeerTopic;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Carries out operators' statements at the node that was asked.
 *
 * <p>Thread safe, never blocks. Access is checked by whoever hands the statement in.
 */
public final class OperatorService {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** How long an accepted change may take to be in force everywhere. */
    static final Duration IN_FORCE_WAIT = Duration.ofSeconds(13);

    /** How long a look at where a version is in force may take. */
    static final Duration LOOK = Duration.ofSeconds(3);

    private final OperatorPorts ports;
    private final LocalQuery local;
    private final QueryGatherer gatherer;
    private final TargetCommander commander;

    private OperatorService(OperatorPorts ports) {
        this.ports = ports;
        this.local = LocalQuery.create(ports);
        this.gatherer = QueryGatherer.create(ports, local);
        this.commander = TargetCommander.create(ports);
    }

    /** Creates the service and registers it for the queries of other nodes; call before the transport starts. */
    public static OperatorService create(OperatorPorts ports) {
        OperatorService service = new OperatorService(ports);
        QueryPeerHandler handler = QueryPeerHandler.create(service.local, service.gatherer, service.commander);
        ports.transport().registerHandler(PeerTopic.QUERY, handler);
        return service;
    }

    /**
     * Carries out the statement; the future never fails.
     *
     * @param operator who asks, for the history of changes
     */
    public CompletableFuture<OperatorResponse> handle(String operator, String text) {
        try {
            Statement statement = StatementParser.parse(text);
            return carryOut(operator, statement).exceptionally(error -> failed(statement, error));
        } catch (StatementException e) {
            return CompletableFuture.completedFuture(ResponseFactory.notAStatement(text, e));
        }
    }

    private CompletableFuture<OperatorResponse> carryOut(String operator, Statement statement) {
        if (statement instanceof ShowStatement show) {
            return show(show, show);
        }
        if (statement instanceof WatchStatement watch) {
            return show(watch.show(), watch);
        }
        if (statement instanceof WhyStatement why) {
            return gatherer.gather(Query.of(why), why.everywhere() ? gatherer.dataCentres() : homeOf(why.request()))
                    .thenApply(result -> ResponseFactory.why(why, result));
        }
        if (statement instanceof ExplainStatement explain) {
            return explain(operator, explain);
        }
        return change(operator, (ChangeStatement) statement);
    }

    private CompletableFuture<OperatorResponse> show(ShowStatement show, Statement asked) {
        if (show.topic() == ShowTopic.CONFIGURATION) {
            return showConfiguration(show, asked);
        }
        CompletableFuture<QueryResult> found = show.node()
                .map(node -> gatherer.askNode(Query.of(show), node))
                .orElseGet(() -> gatherer.gather(Query.of(show), scope(show)));
        return found.thenApply(result -> ResponseFactory.found(asked, result));
    }

    /** The settings of this node, and where else its version is in force. */
    private CompletableFuture<OperatorResponse> showConfiguration(ShowStatement show, Statement asked) {
        long version = ports.configuration().current().version();
        CompletableFuture<QueryResult> settings = local.answer(Query.of(show), QueryGatherer.MAX_ROWS);
        return settings.thenCombine(
                ports.inForce().check(version, LOOK),
                (result, report) -> ResponseFactory.configuration(asked, result, report));
    }

    private ImmutableSet<DataCentre> scope(ShowStatement show) {
        return show.everywhere() ? gatherer.dataCentres() : ImmutableSet.of();
    }

    /** The data centre of the node that took the request in, as long as that start of it is known. */
    private ImmutableSet<DataCentre> homeOf(RequestId request) {
        return ports.directory().get().nodes().values().stream()
                .filter(node -> node.incarnation().equals(request.incarnation()))
                .map(NodeDescriptor::dataCentre)
                .collect(ImmutableSet.toImmutableSet());
    }

    private CompletableFuture<OperatorResponse> explain(String operator, ExplainStatement explain) {
        if (explain.change() instanceof ChangeStatement.OfTarget target) {
            ChangeReport report = new ChangeReport.WouldChange(ImmutableList.of(commander.explain(target)), 0);
            return CompletableFuture.completedFuture(ResponseFactory.changed(explain, report));
        }
        ChangeStatement.OfConfiguration change = (ChangeStatement.OfConfiguration) explain.change();
        return ports.changer()
                .change(ChangeRequest.of(change, operator, true))
                .thenApply(report -> ResponseFactory.changed(explain, report));
    }

    private CompletableFuture<OperatorResponse> change(String operator, ChangeStatement change) {
        if (change instanceof ChangeStatement.OfTarget target) {
            return commander.command(target).thenApply(report -> ResponseFactory.commanded(target, report));
        }
        ChangeRequest request = ChangeRequest.of((ChangeStatement.OfConfiguration) change, operator, false);
        return ports.changer().change(request).thenCompose(report -> changed(change, report));
    }

    private CompletableFuture<OperatorResponse> changed(Statement statement, ChangeReport report) {
        if (report instanceof ChangeReport.Accepted accepted) {
            return ports.inForce()
                    .check(accepted.version(), IN_FORCE_WAIT)
                    .exceptionally(error -> new InForceReport(accepted.version(), ImmutableList.of()))
                    .thenApply(spread -> ResponseFactory.accepted(statement, accepted, spread));
        }
        return CompletableFuture.completedFuture(ResponseFactory.changed(statement, report));
    }

    private static OperatorResponse failed(Statement statement, Throwable error) {
        log.atSevere().withCause(error).log("the statement '%s' failed", statement.text());
        return ResponseFactory.failed(statement, error);
    }
}
