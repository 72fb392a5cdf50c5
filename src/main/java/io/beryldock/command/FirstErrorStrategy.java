package io.beryldock.command;

import org.antlr.v4.runtime.DefaultErrorStrategy;
import org.antlr.v4.runtime.InputMismatchException;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/**
 * Ends the parse at the first syntax error.
 *
 * <p>Not thread safe. The parser's default strategy goes on by leaving out or inserting a token, and then tells what
 * was expected after that instead of all that may stand at the error.
 */
final class FirstErrorStrategy extends DefaultErrorStrategy {

    @Override
    public Token recoverInline(Parser parser) {
        throw mismatch(parser);
    }

    @Override
    protected Token singleTokenDeletion(Parser parser) {
        return null;
    }

    @Override
    protected void reportUnwantedToken(Parser parser) {
        throw mismatch(parser);
    }

    @Override
    public void recover(Parser parser, RecognitionException error) {
        throw new ParseCancellationException(error);
    }

    private InputMismatchException mismatch(Parser parser) {
        return nextTokensContext == null
                ? new InputMismatchException(parser)
                : new InputMismatchException(parser, nextTokensState, nextTokensContext);
    }
}
