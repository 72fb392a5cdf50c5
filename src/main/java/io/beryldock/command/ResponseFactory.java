package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.command.OperatorResponse.ChangeDetail;
import io.beryldock.command.OperatorResponse.ErrorDetail;
import io.beryldock.command.OperatorResponse.Status;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.InForceReport;
import java.util.Optional;
import java.util.stream.Collectors;

/** Makes the responses to operators; the messages told to them stand here. Stateless, thread safe. */
final class ResponseFactory {

    private ResponseFactory() {}

    static OperatorResponse notAStatement(String text, StatementException error) {
        ErrorDetail detail = new ErrorDetail(error.getMessage(), error.column(), error.expected(), Optional.empty());
        return error(Status.NOT_A_STATEMENT, text, detail);
    }

    static OperatorResponse failed(Statement statement, Throwable error) {
        Throwable cause = error.getCause() == null ? error : error.getCause();
        if (statement instanceof ChangeStatement) {
            String remedy = "it may have been carried out: see show changes and show targets";
            return error(Status.UNKNOWN, statement.text(), detail(String.valueOf(cause.getMessage()), remedy));
        }
        String remedy = "see the node's log for the statement and the cause";
        return error(Status.FAILED, statement.text(), detail(String.valueOf(cause.getMessage()), remedy));
    }

    static OperatorResponse found(Statement statement, QueryResult result) {
        return found(statement, result, notes(result).build());
    }

    static OperatorResponse why(WhyStatement why, QueryResult result) {
        ImmutableList.Builder<String> notes = notes(result);
        if (result.table().rows().isEmpty()) {
            notes.add("no node asked remembers a decision over " + why.request()
                    + ": it was answered without one, or is older than what the nodes keep");
            if (!why.everywhere()) {
                notes.add("other data centres may: why " + why.request() + " everywhere");
            }
        }
        return found(why, result, notes.build());
    }

    static OperatorResponse configuration(Statement statement, QueryResult own, InForceReport report) {
        ImmutableList.Builder<String> notes = notes(own);
        notes.add(
                report.version() == Configuration.DEFAULTS_VERSION
                        ? "version 0: the defaults, no change has been accepted yet"
                        : "version " + report.version());
        report.dataCentres().forEach(line -> notes.add(inForce(line)));
        return found(report.everywhere() ? Status.OK : Status.PARTIAL, statement, own, notes.build());
    }

    static OperatorResponse commanded(ChangeStatement.OfTarget change, TargetReport report) {
        return switch (report.kind()) {
            case DONE -> done(change, report.message());
            case REFUSED -> error(Status.REFUSED, change.text(), detail(report.message(), report.remedy()));
            case UNREACHABLE -> error(Status.UNREACHABLE, change.text(), detail(report.message(), report.remedy()));
            case UNKNOWN -> error(Status.UNKNOWN, change.text(), detail(report.message(), report.remedy()));
        };
    }

    static OperatorResponse changed(Statement statement, ChangeReport report) {
        if (report instanceof ChangeReport.WouldChange would) {
            return wouldChange(statement, would);
        }
        if (report instanceof ChangeReport.Conflict conflict) {
            return conflict(statement, conflict);
        }
        if (report instanceof ChangeReport.Unknown unknown) {
            String message = "the platform store did not say whether change " + unknown.changeId() + " was written";
            return error(Status.UNKNOWN, statement.text(), detail(message, unknown.remedy()));
        }
        ChangeReport.Rejected rejected = (ChangeReport.Rejected) report;
        return error(Status.REFUSED, statement.text(), detail(rejected.message(), rejected.remedy()));
    }

    private static OperatorResponse conflict(Statement statement, ChangeReport.Conflict conflict) {
        String message = conflict.setting() + " was set to '" + conflict.otherValue() + "' by "
                + conflict.otherOperator() + " in version " + conflict.version() + "; nothing was written";
        Statement mine = statement instanceof ChangeStatement.BasedOn based ? based.change() : statement;
        String remedy = "if yours is to replace it: " + mine.text() + " based on version " + conflict.version();
        return error(Status.CONFLICT, statement.text(), detail(message, remedy));
    }

    static OperatorResponse accepted(Statement statement, ChangeReport.Accepted accepted, InForceReport report) {
        ImmutableList.Builder<String> notes = ImmutableList.builder();
        notes.add("change " + accepted.changeId() + " accepted as version " + accepted.version() + ", in force in "
                + report.dataCentresInForce() + " of " + report.dataCentres().size() + " data centres");
        boolean everywhere = report.everywhere() && !report.dataCentres().isEmpty();
        if (!everywhere) {
            report.dataCentres().stream().filter(line -> !isInForce(line)).forEach(line -> notes.add(inForce(line)));
            notes.add("it stays accepted and follows there; look again with show configuration");
        }
        ChangeDetail detail = new ChangeDetail(
                Optional.of(accepted.changeId()),
                accepted.version(),
                names(report, true),
                names(report, false),
                ImmutableList.of());
        Status status = everywhere ? Status.OK : Status.PARTIAL;
        return response(status, statement.text(), notes.build(), Optional.of(detail), Optional.empty());
    }

    private static boolean isInForce(InForceReport.Line line) {
        return line.holding() == line.nodes();
    }

    private static String inForce(InForceReport.Line line) {
        String nodes = line.nodes() == 1 ? " node" : " nodes";
        String text = line.dataCentre() + ": in force at " + line.holding() + " of " + line.nodes() + nodes;
        String behind = line.behind().stream().map(NodeId::value).collect(Collectors.joining(", "));
        return behind.isEmpty() ? text : text + "; behind or silent: " + behind;
    }

    private static ImmutableList<String> names(InForceReport report, boolean inForce) {
        return report.dataCentres().stream()
                .filter(line -> isInForce(line) == inForce)
                .map(line -> line.dataCentre().value())
                .collect(ImmutableList.toImmutableList());
    }

    private static OperatorResponse wouldChange(Statement statement, ChangeReport.WouldChange would) {
        String note = would.effects().isEmpty() ? "it would change nothing" : "nothing was written";
        ChangeDetail detail = new ChangeDetail(
                Optional.empty(), would.version(), ImmutableList.of(), ImmutableList.of(), would.effects());
        return response(Status.OK, statement.text(), ImmutableList.of(note), Optional.of(detail), Optional.empty());
    }

    private static OperatorResponse done(Statement statement, String note) {
        return response(Status.OK, statement.text(), ImmutableList.of(note), Optional.empty(), Optional.empty());
    }

    private static OperatorResponse found(Statement statement, QueryResult result, ImmutableList<String> notes) {
        return found(result.isComplete() ? Status.OK : Status.PARTIAL, statement, result, notes);
    }

    private static OperatorResponse found(
            Status status, Statement statement, QueryResult result, ImmutableList<String> notes) {
        return new OperatorResponse(
                status,
                statement.text(),
                result.table(),
                result.answered(),
                result.silentNodes().stream().map(NodeId::value).collect(ImmutableList.toImmutableList()),
                texts(result.silentDataCentres()),
                notes,
                Optional.empty(),
                Optional.empty());
    }

    private static ImmutableList.Builder<String> notes(QueryResult result) {
        ImmutableList.Builder<String> notes = ImmutableList.builder();
        notes.addAll(result.notes());
        if (result.rowsLeftOut() > 0) {
            notes.add(result.rowsLeftOut() + " rows were left out: narrow it by service, node or last");
        }
        return notes;
    }

    private static OperatorResponse error(Status status, String text, ErrorDetail detail) {
        return response(status, text, ImmutableList.of(), Optional.empty(), Optional.of(detail));
    }

    private static ErrorDetail detail(String message, String remedy) {
        return new ErrorDetail(message, 0, ImmutableList.of(), Optional.of(remedy));
    }

    private static OperatorResponse response(
            Status status,
            String text,
            ImmutableList<String> notes,
            Optional<ChangeDetail> change,
            Optional<ErrorDetail> error) {
        return new OperatorResponse(
                status, text, QueryTable.empty(), 0, ImmutableList.of(), ImmutableList.of(), notes, change, error);
    }

    private static ImmutableList<String> texts(ImmutableSortedSet<DataCentre> dataCentres) {
        return dataCentres.stream().map(DataCentre::value).collect(ImmutableList.toImmutableList());
    }
}
