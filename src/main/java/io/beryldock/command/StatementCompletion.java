package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import io.beryldock.command.grammar.OperatorParser;
import java.util.Optional;

/** Says which words may come next in a statement, from its grammar. Stateless, thread safe. */
public final class StatementCompletion {

    /** A character of no statement: the parser fails at it, and tells what it expected in its place. */
    private static final String NOWHERE = "\u0001";

    private StatementCompletion() {}

    /**
     * The keywords that may follow the whole words before the cursor, in alphabetical order.
     *
     * <p>Empty where a name, a number or a path stands, or when the text can't begin a statement.
     */
    public static ImmutableList<String> next(String before) {
        SyntaxErrorCollector errors = new SyntaxErrorCollector();
        Optional<OperatorParser.StatementContext> unused = StatementParser.parse(before + " " + NOWHERE, errors);
        boolean reachedEnd = errors.column() > before.length();
        return reachedEnd ? errors.expectedKeywords() : ImmutableList.of();
    }
}
