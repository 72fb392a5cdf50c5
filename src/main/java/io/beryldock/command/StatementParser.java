package io.beryldock.command;

import io.beryldock.command.grammar.OperatorLexer;
import io.beryldock.command.grammar.OperatorParser;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;

/** Parses the operators' language, whose grammar is src/main/antlr/Operator.g4. Stateless, thread safe. */
public final class StatementParser {

    private StatementParser() {}

    /** Parses one statement; the exception names the column and what may stand there. */
    public static Statement parse(String text) throws StatementException {
        SyntaxErrorCollector errors = new SyntaxErrorCollector();
        OperatorParser parser = parser(text, errors);
        OperatorParser.StatementContext tree = parser.statement();
        errors.throwFirst();
        return StatementBuilder.build(tree);
    }

    /** A parser of the text that reports to the collector only. */
    static OperatorParser parser(String text, SyntaxErrorCollector errors) {
        OperatorLexer lexer = new OperatorLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        OperatorParser parser = new OperatorParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(errors);
        return parser;
    }
}
