package io.beryldock.command;

import io.beryldock.call.NodeId;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceName;
import io.beryldock.command.grammar.OperatorParser.DurationContext;
import io.beryldock.command.grammar.OperatorParser.EverywhereContext;
import io.beryldock.command.grammar.OperatorParser.GroupingContext;
import io.beryldock.command.grammar.OperatorParser.NodeIdContext;
import io.beryldock.command.grammar.OperatorParser.RequestIdContext;
import io.beryldock.command.grammar.OperatorParser.ServiceNameContext;
import io.beryldock.command.grammar.OperatorParser.ShowContext;
import io.beryldock.timeline.RefusalCounter;
import java.time.Duration;
import java.util.Locale;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.tree.ParseTree;

/** Builds a show statement of its syntax tree; the grammar has checked which options its topic has. */
final class ShowBuilder {

    private static final Duration MAX_TIMELINE = Duration.ofHours(24);

    private final ShowTopic topic;
    private final SingleOption<ShedGrouping> grouping = SingleOption.named("by");
    private final SingleOption<Duration> last = SingleOption.named("last");
    private final SingleOption<RequestId> request = SingleOption.named("request");
    private final SingleOption<ServiceName> service = SingleOption.named("service");
    private final SingleOption<NodeId> node = SingleOption.named("node");
    private final SingleOption<Boolean> everywhere = SingleOption.named("everywhere");

    private ShowBuilder(ShowTopic topic) {
        this.topic = topic;
    }

    /** The second word is the topic; what follows are its options. */
    static ShowStatement build(ShowContext tree) throws StatementException {
        String word = tree.getChild(1).getText();
        ShowBuilder builder = new ShowBuilder(ShowTopic.valueOf(word.toUpperCase(Locale.ROOT)));
        for (int i = 2; i < tree.getChildCount(); i++) {
            builder.take((ParserRuleContext) tree.getChild(i));
        }
        return builder.statement();
    }

    private ShowStatement statement() {
        return new ShowStatement(
                topic,
                grouping.value(),
                last.value(),
                request.value(),
                service.value(),
                node.value(),
                everywhere.isSet());
    }

    private void take(ParserRuleContext option) throws StatementException {
        if (option instanceof EverywhereContext) {
            everywhere.set(option, true);
            return;
        }
        for (ParseTree part : option.children) {
            takePart(option, part);
        }
    }

    private void takePart(ParserRuleContext option, ParseTree part) throws StatementException {
        if (part instanceof GroupingContext name) {
            grouping.set(option, ShedGrouping.valueOf(StatementBuilder.upper(name)));
        } else if (part instanceof DurationContext length) {
            last.set(option, StatementBuilder.duration(length, longest()));
        } else if (part instanceof RequestIdContext id) {
            request.set(option, StatementBuilder.requestId(id));
        } else if (part instanceof ServiceNameContext name) {
            service.set(option, StatementBuilder.named(name, ServiceName::of));
        } else if (part instanceof NodeIdContext id) {
            node.set(option, StatementBuilder.named(id, NodeId::of));
        } else if (part instanceof EverywhereContext) {
            everywhere.set(option, true);
        }
    }

    private Duration longest() {
        return topic == ShowTopic.SHED ? RefusalCounter.SPAN : MAX_TIMELINE;
    }
}
