package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.command.OperatorResponse.ChangeDetail;
import io.beryldock.command.OperatorResponse.ErrorDetail;
import io.beryldock.command.OperatorResponse.Status;
import java.util.Optional;

/** Makes the responses to operators; the messages told to them stand here. Stateless, thread safe. */
final class ResponseFactory {

    private ResponseFactory() {}

    static OperatorResponse notAStatement(String text, StatementException error) {
        ErrorDetail detail = new ErrorDetail(error.getMessage(), error.column(), error.expected(), Optional.empty());
        return error(Status.NOT_A_STATEMENT, text, detail);
    }

    static OperatorResponse failed(Statement statement, Throwable error) {
        Throwable cause = error.getCause() == null ? error : error.getCause();
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

    static OperatorResponse configuration(Statement statement, QueryResult own, QueryResult versions) {
        ImmutableList.Builder<String> notes = notes(versions);
        for (VersionCount count : versions.versions()) {
            notes.add("version " + count.version() + " is in force in " + count.dataCentre() + " at " + count.nodes()
                    + (count.nodes() == 1 ? " node" : " nodes"));
        }
        QueryResult both = new QueryResult(
                own.table(),
                versions.answered(),
                versions.silentNodes(),
                versions.silentDataCentres(),
                versions.notes(),
                versions.versions(),
                own.rowsLeftOut());
        return found(statement, both, notes.build());
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
        if (report instanceof ChangeReport.Accepted accepted) {
            return accepted(statement, accepted);
        }
        if (report instanceof ChangeReport.WouldChange would) {
            return wouldChange(statement, would);
        }
        if (report instanceof ChangeReport.Conflict conflict) {
            String message = conflict.setting() + " is " + conflict.otherValue() + " since version "
                    + conflict.version() + ", set by " + conflict.otherOperator() + " at the same time";
            String remedy = "nothing was written; if your value is still right, send the statement again";
            return error(Status.CONFLICT, statement.text(), detail(message, remedy));
        }
        if (report instanceof ChangeReport.Unknown unknown) {
            String message = "the platform store did not say whether change " + unknown.changeId() + " was written";
            return error(Status.UNKNOWN, statement.text(), detail(message, unknown.remedy()));
        }
        ChangeReport.Rejected rejected = (ChangeReport.Rejected) report;
        return error(Status.REFUSED, statement.text(), detail(rejected.message(), rejected.remedy()));
    }

    private static OperatorResponse accepted(Statement statement, ChangeReport.Accepted accepted) {
        int known = accepted.inForce().size() + accepted.missing().size();
        ImmutableList.Builder<String> notes = ImmutableList.builder();
        notes.add("change " + accepted.changeId() + " accepted as version " + accepted.version() + ", in force in "
                + accepted.inForce().size() + " of " + known + " data centres");
        if (!accepted.missing().isEmpty()) {
            notes.add("not yet seen in force in " + names(accepted.missing())
                    + "; it stays accepted and follows there: show configuration everywhere");
        }
        ChangeDetail detail = new ChangeDetail(
                Optional.of(accepted.changeId()),
                accepted.version(),
                texts(accepted.inForce()),
                texts(accepted.missing()),
                accepted.effects());
        Status status = accepted.missing().isEmpty() ? Status.OK : Status.PARTIAL;
        return response(status, statement.text(), notes.build(), Optional.of(detail), Optional.empty());
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
        return new OperatorResponse(
                result.isComplete() ? Status.OK : Status.PARTIAL,
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
            notes.add(result.rowsLeftOut() + " rows were left out: narrow the statement");
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

    private static String names(ImmutableSortedSet<DataCentre> dataCentres) {
        return String.join(", ", texts(dataCentres));
    }
}
