package io.beryldock.command;

import com.google.common.collect.ImmutableList;

/**
 * A question that nodes ask one another. Immutable.
 *
 * @param statement a {@link ShowStatement} or {@link WhyStatement} about one node's part
 */
record Query(Statement statement) {

    static Query of(ShowStatement show) {
        return new Query(show.here());
    }

    static Query of(WhyStatement why) {
        return new Query(new WhyStatement(why.request(), false));
    }

    /** Reads the form on the wire. */
    static Query parse(String text) throws StatementException {
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
        return statement.text();
    }

    /** The topic whose order the rows follow; decisions over a request are a part of the time line. */
    ShowTopic topic() {
        return statement instanceof ShowStatement show ? show.topic() : ShowTopic.TIMELINE;
    }
}
