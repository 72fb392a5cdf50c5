package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.command.grammar.OperatorParser;
import java.util.Comparator;
import java.util.Locale;
import org.antlr.v4.runtime.RuleContext;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.IntervalSet;

/** Says in words what the parser expects at a place. Stateless, thread safe. */
final class ExpectedWords {

    /** What a token without a fixed text stands for, by the rule it is expected in. */
    private static final ImmutableMap<Integer, String> BY_RULE = ImmutableMap.<Integer, String>builder()
            .put(OperatorParser.RULE_className, "the name of a class")
            .put(OperatorParser.RULE_budgetName, "the name of a budget")
            .put(OperatorParser.RULE_serviceName, "the name of a service")
            .put(OperatorParser.RULE_nodeId, "the id of a node")
            .put(OperatorParser.RULE_method, "an HTTP method")
            .put(OperatorParser.RULE_requestId, "a request id")
            .put(OperatorParser.RULE_share, "a share such as 10% or 0.1")
            .put(OperatorParser.RULE_priority, "a priority from 0 (shed last) to 7 (shed first)")
            .put(OperatorParser.RULE_retries, "a number of retries")
            .put(OperatorParser.RULE_slots, "a number of slots")
            .put(OperatorParser.RULE_version, "the number of a version")
            .buildOrThrow();

    /** Where no such rule has begun, a word can only be the first of a route's methods, which may be left out. */
    private static final ImmutableMap<Integer, String> BY_TOKEN = ImmutableMap.of(
            OperatorParser.PATH, "a path prefix such as /orders",
            OperatorParser.DURATION, "a duration such as 5m or 30s",
            OperatorParser.COMMA, "a comma",
            OperatorParser.NUMBER, "a number",
            OperatorParser.WORD, "an HTTP method",
            Token.EOF, "the end of the statement");

    private ExpectedWords() {}

    /** Each thing that may stand there, keywords as they are written, the end of the statement last. */
    static ImmutableList<String> describe(IntervalSet tokens, RuleContext place) {
        String placeholder = placeholder(place);
        if (placeholder != null) {
            return ImmutableList.of(placeholder);
        }
        return tokens.toList().stream()
                .sorted(Comparator.comparing(token -> token == Token.EOF))
                .map(ExpectedWords::word)
                .collect(ImmutableList.toImmutableList());
    }

    /** The keywords among the tokens, sorted; none where any name may stand, as each keyword is a name too. */
    static ImmutableList<String> keywords(IntervalSet tokens) {
        boolean anyName = tokens.contains(OperatorParser.WORD) && tokens.contains(OperatorParser.NUMBER);
        if (anyName) {
            return ImmutableList.of();
        }
        return tokens.toList().stream()
                .filter(token -> !BY_TOKEN.containsKey(token))
                .map(ExpectedWords::word)
                .sorted()
                .collect(ImmutableList.toImmutableList());
    }

    private static String placeholder(RuleContext place) {
        for (RuleContext at = place; at != null; at = at.parent) {
            String words = BY_RULE.get(at.getRuleIndex());
            if (words != null) {
                return words;
            }
        }
        return null;
    }

    private static String word(int token) {
        String words = BY_TOKEN.get(token);
        if (words != null) {
            return words;
        }
        String literal = OperatorParser.VOCABULARY.getLiteralName(token);
        return literal == null
                ? OperatorParser.VOCABULARY.getDisplayName(token).toLowerCase(Locale.ROOT)
                : literal.replace("'", "");
    }
}
