package io.beryldock.command;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import java.util.Objects;
import java.util.Optional;

/**
 * What a node answers to a statement, as JSON between the node and its client.
 *
 * <p>Immutable.
 *
 * @param statement the statement in its canonical form, or as it was sent when it did not parse
 * @param answered how many nodes are in the table, 0 for a change
 * @param silentNodes ids of the nodes that did not answer in time
 * @param silentDataCentres data centres of which no node answered
 * @param change what became of a change
 * @param error why the statement was not carried out
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record OperatorResponse(
        Status status,
        String statement,
        QueryTable table,
        int answered,
        ImmutableList<String> silentNodes,
        ImmutableList<String> silentDataCentres,
        ImmutableList<String> notes,
        Optional<ChangeDetail> change,
        Optional<ErrorDetail> error) {

    public OperatorResponse {
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(table, "table");
    }

    /** How a statement ended, with the exit code of the client and the HTTP status of the node. */
    public enum Status {
        OK(0, 200),
        /** A change was refused, nothing was written. */
        REFUSED(1, 409),
        /** Another operator's change of the same setting came first. */
        CONFLICT(1, 409),
        /** The statement is not in the language. */
        NOT_A_STATEMENT(2, 400),
        /** A change may or may not be in force. */
        UNKNOWN(3, 504),
        /** Some nodes did not answer, or a change is not yet in force everywhere. */
        PARTIAL(4, 200),
        /** The node that a command is for can't be reached; nothing was changed. */
        UNREACHABLE(4, 503),
        /** The node failed to carry the statement out. */
        FAILED(1, 500);

        private final int exitCode;
        private final int httpStatus;

        Status(int exitCode, int httpStatus) {
            this.exitCode = exitCode;
            this.httpStatus = httpStatus;
        }

        public int exitCode() {
            return exitCode;
        }

        public int httpStatus() {
            return httpStatus;
        }
    }

    /**
     * What became of a change. Immutable.
     *
     * @param version of the configuration, 0 when none is known
     * @param inForce data centres where it is in force
     * @param notYetInForce data centres where it was not seen in force in time
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record ChangeDetail(
            Optional<String> changeId,
            long version,
            ImmutableList<String> inForce,
            ImmutableList<String> notYetInForce,
            ImmutableList<String> effects) {}

    /**
     * Why a statement was not carried out. Immutable.
     *
     * @param column where in the statement, counted from 1; 0 when it is not about a place
     * @param expected what may stand there
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record ErrorDetail(String message, int column, ImmutableList<String> expected, Optional<String> remedy) {}
}
