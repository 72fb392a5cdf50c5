package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import io.beryldock.timeline.Event;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/** Answers queries from what this node knows. Thread safe, never blocks. */
final class LocalQuery {

    private final OperatorPorts ports;

    private LocalQuery(OperatorPorts ports) {
        this.ports = ports;
    }

    static LocalQuery create(OperatorPorts ports) {
        return new LocalQuery(ports);
    }

    /** This node's part of the answer; the future may fail. */
    CompletableFuture<QueryResult> answer(Query query, int maxRows) {
        return table(query).thenApply(table -> {
            QueryTable kept = RowLimit.apply(query.topic(), table, maxRows);
            int leftOut = table.rows().size() - kept.rows().size();
            return QueryResult.ofNode(kept, leftOut);
        });
    }

    private CompletableFuture<QueryTable> table(Query query) {
        if (query.statement() instanceof WhyStatement why) {
            ImmutableList<Event> events = ports.events().explain(why.request());
            return done(TimelineTable.why(events));
        }
        ShowStatement show = (ShowStatement) query.statement();
        return show(show).thenApply(table -> RowFilter.apply(show, table));
    }

    private CompletableFuture<QueryTable> show(ShowStatement show) {
        return switch (show.topic()) {
            case TIMELINE -> done(TimelineTable.of(timeline(show)));
            case SHED -> done(shed(show));
            case CONFIGURATION ->
                done(ConfigurationTable.settings(ports.configuration().current()));
            case CHANGES ->
                done(ConfigurationTable.changes(ports.configuration().changes()));
            default -> ports.inspector().inspect(show);
        };
    }

    private static CompletableFuture<QueryTable> done(QueryTable table) {
        return CompletableFuture.completedFuture(table);
    }

    private QueryTable shed(ShowStatement show) {
        return RefusalTable.of(ports.refusals().last(show.lastOrDefault()), show);
    }

    private ImmutableList<Event> timeline(ShowStatement show) {
        ImmutableList<Event> since = ports.events().since(ports.events().clock().ago(show.lastOrDefault()));
        if (show.request().isEmpty()) {
            return since;
        }
        ImmutableList<Event> decisions = ports.events().find(show.request().get());
        Stream<Event> about = since.stream().filter(event -> event.request().equals(show.request()));
        return Stream.concat(decisions.stream(), about.filter(event -> event.count() == 1))
                .distinct()
                .sorted(Event.CAUSAL_ORDER)
                .collect(ImmutableList.toImmutableList());
    }
}
