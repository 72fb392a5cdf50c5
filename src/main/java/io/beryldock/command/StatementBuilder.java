package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceName;
import io.beryldock.command.grammar.OperatorParser;
import io.beryldock.command.grammar.OperatorParser.ChangeContext;
import io.beryldock.command.grammar.OperatorParser.CommandContext;
import io.beryldock.command.grammar.OperatorParser.RouteMethodsContext;
import io.beryldock.command.grammar.OperatorParser.RouteTargetContext;
import io.beryldock.command.grammar.OperatorParser.SetBudgetContext;
import io.beryldock.command.grammar.OperatorParser.SetContext;
import io.beryldock.command.grammar.OperatorParser.SetRouteContext;
import io.beryldock.configuration.RetrySetting;
import io.beryldock.configuration.ServiceSetting;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.time.Duration;
import java.util.Locale;
import org.antlr.v4.runtime.ParserRuleContext;

/** Builds statements of a syntax tree without errors and checks what the grammar can't: bounds and repetitions. */
final class StatementBuilder {

    private static final Duration MAX_DEADLINE = Duration.ofHours(1);

    private StatementBuilder() {}

    static Statement build(OperatorParser.StatementContext tree) throws StatementException {
        CommandContext command = tree.command();
        if (command.show() != null) {
            return ShowBuilder.build(command.show());
        }
        if (command.why() != null) {
            OperatorParser.WhyContext why = command.why();
            return new WhyStatement(requestId(why.requestId()), why.everywhere() != null);
        }
        if (command.explain() != null) {
            return new ExplainStatement(change(command.explain().change()));
        }
        if (command.watch() != null) {
            return new WatchStatement(ShowBuilder.build(command.watch().show()));
        }
        return change(command.change());
    }

    private static ChangeStatement change(ChangeContext tree) throws StatementException {
        if (tree.set() != null || tree.remove() != null || tree.mark() != null) {
            ChangeStatement.OfConfiguration change = ofSetting(tree);
            return tree.basedOn() == null
                    ? change
                    : new ChangeStatement.BasedOn(change, number(tree.basedOn().version(), 0, Integer.MAX_VALUE));
        }
        if (tree.restore() != null) {
            return new ChangeStatement.RestoreConfiguration();
        }
        if (tree.drain() != null) {
            return new ChangeStatement.DrainTarget(named(tree.drain().nodeId(), NodeId::of));
        }
        return new ChangeStatement.UndrainTarget(named(tree.undrain().nodeId(), NodeId::of));
    }

    private static ChangeStatement.OfConfiguration ofSetting(ChangeContext tree) throws StatementException {
        if (tree.set() != null) {
            return set(tree.set());
        }
        if (tree.remove() != null) {
            return new ChangeStatement.RemoveRoute(
                    tree.remove().prefix().getText(), methods(tree.remove().routeMethods()));
        }
        boolean idempotent = tree.mark().IDEMPOTENT() != null;
        return new ChangeStatement.MarkRoute(
                tree.mark().prefix().getText(), methods(tree.mark().routeMethods()), idempotent);
    }

    private static ChangeStatement.OfConfiguration set(SetContext tree) throws StatementException {
        if (tree.setClass() != null) {
            int priority = number(tree.setClass().priority(), 0, PriorityClass.LOWEST_RANK);
            return new ChangeStatement.SetClass(className(tree.setClass().className()), priority);
        }
        if (tree.setBudget() != null) {
            return setBudget(tree.setBudget());
        }
        if (tree.setLimit() != null) {
            ServiceName service = named(tree.setLimit().serviceName(), ServiceName::of);
            return new ChangeStatement.SetLimit(service, number(tree.setLimit().slots(), 1, ServiceSetting.MAX_SLOTS));
        }
        return setRoute(tree.setRoute());
    }

    private static ChangeStatement.OfConfiguration setBudget(SetBudgetContext tree) throws StatementException {
        SingleOption<Double> share = SingleOption.named("share");
        SingleOption<Integer> retries = SingleOption.named("retries");
        for (OperatorParser.BudgetOptionContext option : tree.budgetOption()) {
            if (option.share() != null) {
                share.set(option, share(option.share()));
            } else {
                retries.set(option, number(option.retries(), 0, RetrySetting.MAX_RETRIES));
            }
        }
        return new ChangeStatement.SetBudget(className(tree.budgetName()), share.value(), retries.value());
    }

    private static ChangeStatement.OfConfiguration setRoute(SetRouteContext tree) throws StatementException {
        String prefix = tree.prefix().getText();
        ImmutableList<String> methods = methods(tree.routeMethods());
        if (tree.routeTarget() != null) {
            return setRoute(prefix, methods, tree.routeTarget());
        }
        return new ChangeStatement.SetDeadline(prefix, methods, duration(tree.duration(), MAX_DEADLINE));
    }

    private static ChangeStatement.OfConfiguration setRoute(
            String prefix, ImmutableList<String> methods, RouteTargetContext tree) throws StatementException {
        SingleOption<Boolean> idempotent = SingleOption.named("idempotent or non-idempotent");
        SingleOption<Duration> deadline = SingleOption.named("deadline");
        SingleOption<String> budget = SingleOption.named("budget");
        for (OperatorParser.RouteOptionContext option : tree.routeOption()) {
            if (option.duration() != null) {
                deadline.set(option, duration(option.duration(), MAX_DEADLINE));
            } else if (option.budgetName() != null) {
                budget.set(option, className(option.budgetName()));
            } else {
                idempotent.set(option, option.IDEMPOTENT() != null);
            }
        }
        return new ChangeStatement.SetRoute(
                prefix,
                methods,
                named(tree.serviceName(), ServiceName::of),
                className(tree.className()),
                idempotent.value(),
                deadline.value(),
                budget.value());
    }

    /** The methods in upper case, none when the statement names none. */
    private static ImmutableList<String> methods(RouteMethodsContext tree) {
        if (tree == null) {
            return ImmutableList.of();
        }
        return tree.method().stream().map(StatementBuilder::upper).collect(ImmutableList.toImmutableList());
    }

    private static double share(ParserRuleContext tree) throws StatementException {
        String text = tree.getText();
        BigDecimal number = new BigDecimal(text.replace("%", ""));
        BigDecimal share = text.endsWith("%") ? number.movePointLeft(2) : number;
        if (share.compareTo(BigDecimal.ONE) > 0) {
            throw error(tree, "'" + text + "' is out of bounds", "0% to 100%");
        }
        return share.doubleValue();
    }

    private static String className(ParserRuleContext tree) throws StatementException {
        return named(tree, name -> PriorityClass.of(name, 0)).name();
    }

    static RequestId requestId(ParserRuleContext tree) throws StatementException {
        return named(tree, RequestId::parse);
    }

    static <T> T named(ParserRuleContext tree, Reader<T> reader) throws StatementException {
        try {
            return reader.read(tree.getText());
        } catch (IllegalArgumentException e) {
            throw error(tree, e.getMessage());
        }
    }

    private static int number(ParserRuleContext tree, int low, int high) throws StatementException {
        BigInteger number = new BigInteger(tree.getText());
        if (number.compareTo(BigInteger.valueOf(low)) < 0 || number.compareTo(BigInteger.valueOf(high)) > 0) {
            throw error(tree, "'" + tree.getText() + "' is out of bounds", low + " to " + high);
        }
        return number.intValue();
    }

    static Duration duration(ParserRuleContext tree, Duration longest) throws StatementException {
        String bound = "1ms to " + Durations.format(longest);
        try {
            Duration length = Durations.parse(tree.getText());
            if (length.isZero() || length.compareTo(longest) > 0) {
                throw error(tree, "'" + tree.getText() + "' is out of bounds", bound);
            }
            return length;
        } catch (IllegalArgumentException | ArithmeticException e) {
            throw error(tree, "'" + tree.getText() + "' is out of bounds", bound);
        }
    }

    static String upper(ParserRuleContext tree) {
        return tree.getText().toUpperCase(Locale.ROOT);
    }

    static StatementException error(ParserRuleContext tree, String message, String... expected) {
        int column = tree.getStart().getStartIndex() + 1;
        return StatementException.at(column, message, ImmutableList.copyOf(expected));
    }

    /** Reads a value of its text; throws {@link IllegalArgumentException} when it is malformed. */
    @FunctionalInterface
    interface Reader<T> {
        T read(String text);
    }
}
