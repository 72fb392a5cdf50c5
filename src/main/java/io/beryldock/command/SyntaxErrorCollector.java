package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.IntervalSet;

/** Keeps the syntax error at which a parse ended. Not thread safe. */
final class SyntaxErrorCollector extends BaseErrorListener {

    private StatementException error;
    private ImmutableList<String> keywords = ImmutableList.of();

    @Override
    public void syntaxError(
            Recognizer<?, ?> recognizer,
            Object symbol,
            int line,
            int charPositionInLine,
            String message,
            RecognitionException cause) {
        Token token = (Token) symbol;
        IntervalSet tokens = cause.getExpectedTokens();
        boolean atEnd = token.getType() == Token.EOF;
        String found = atEnd ? "the statement ends too early" : "'" + token.getText() + "' can't stand here";
        keywords = ExpectedWords.keywords(tokens);
        error = StatementException.at(token.getStartIndex() + 1, found, ExpectedWords.describe(tokens, cause.getCtx()));
    }

    void throwIfAny() throws StatementException {
        if (error != null) {
            throw error;
        }
    }

    /** Column of the error, 0 when there is none. */
    int column() {
        return error == null ? 0 : error.column();
    }

    /** Keywords that may stand at the error. */
    ImmutableList<String> expectedKeywords() {
        return keywords;
    }
}
