package io.beryldock.command;

import io.beryldock.command.grammar.OperatorLexer;
import io.beryldock.command.grammar.OperatorParser;
import java.util.Optional;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/** Parses the operators' language, whose grammar is src/main/antlr/Operator.g4. Stateless, thread safe. */
public final class StatementParser {

    private StatementParser() {}

    /** Parses one statement; the exception names the column and what may stand there. */
    public static Statement parse(String text) throws StatementException {
        SyntaxErrorCollector errors = new SyntaxErrorCollector();
        Optional<OperatorParser.StatementContext> tree = parse(text, errors);
        errors.throwIfAny();
        return StatementBuilder.build(tree.orElseThrow());
    }

    /** The syntax tree, or none when the collector got an error. */
    static Optional<OperatorParser.StatementContext> parse(String text, SyntaxErrorCollector errors) {
        OperatorLexer lexer = new OperatorLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        OperatorParser parser = new OperatorParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(errors);
        parser.setErrorHandler(new FirstErrorStrategy());
        try {
            return Optional.of(parser.statement());
        } catch (ParseCancellationException e) {
            return Optional.empty();
        }
    }
}
