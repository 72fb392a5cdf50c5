package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.RuleContext;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.IntervalSet;

/** Keeps the first syntax error of a parse; the parser's own recovery makes the later ones unreliable. Not thread safe. */
final class SyntaxErrorCollector extends BaseErrorListener {

    private StatementException first;

    @Override
    public void syntaxError(
            Recognizer<?, ?> recognizer,
            Object symbol,
            int line,
            int charPositionInLine,
            String message,
            RecognitionException cause) {
        if (first != null) {
            return;
        }
        Parser parser = (Parser) recognizer;
        Token token = (Token) symbol;
        IntervalSet tokens = cause == null ? parser.getExpectedTokens() : cause.getExpectedTokens();
        RuleContext place = cause == null ? parser.getContext() : cause.getCtx();
        ImmutableList<String> expected = ExpectedWords.describe(tokens, place);
        boolean atEnd = token.getType() == Token.EOF;
        String found = atEnd ? "the statement ends too early" : "'" + token.getText() + "' can't stand here";
        first = StatementException.at(token.getStartIndex() + 1, found, expected);
    }

    boolean hasError() {
        return first != null;
    }

    void throwFirst() throws StatementException {
        if (first != null) {
            throw first;
        }
    }

    ImmutableList<String> expected() {
        return first == null ? ImmutableList.of() : first.expected();
    }
}
