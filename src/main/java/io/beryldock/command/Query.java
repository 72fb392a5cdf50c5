package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * A question that nodes ask one another. Immutable.
 *
 * @param statement a {@link ShowStatement} or {@link WhyStatement}; empty asks for the configuration's version only
 */
record Query(Optional<Statement> statement) {

    static Query of(ShowStatement show) {
        return new Query(Optional.of(show.here()));
    }

    static Query of(WhyStatement why) {
        return new Query(Optional.of(new WhyStatement(why.request(), false)));
    }

    /** Which version of the configuration is in force. */
    static Query ofVersion() {
        return new Query(Optional.empty());
    }

    /** Reads the form on the wire. */
    static Query parse(String text) throws StatementException {
        if (text.isEmpty()) {
            return ofVersion();
        }
        Statement statement = StatementParser.parse(text);
        if (statement instanceof ShowStatement show) {
            return of(show);
        }
        if (statement instanceof WhyStatement why) {
            return of(why);
        }
        throw StatementException.at(1, "not a query", ImmutableList.of("show", "why"));
    }

    String text() {
        return statement.map(Statement::text).orElse("");
    }

    /** The topic whose order the rows follow; decisions over a request are a part of the time line. */
    ShowTopic topic() {
        return statement.orElse(null) instanceof ShowStatement show ? show.topic() : ShowTopic.TIMELINE;
    }
}
