package io.beryldock.command;

import io.beryldock.call.NodeId;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceName;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Shows a topic.
 *
 * <p>Immutable.
 *
 * @param grouping of {@link ShowTopic#SHED}; by class when absent
 * @param last how far back, for {@link ShowTopic#SHED} and {@link ShowTopic#TIMELINE}; the default when absent
 * @param request of {@link ShowTopic#TIMELINE}: events about this request only
 * @param service rows about this service only
 * @param node rows of this node only, which alone is asked, wherever it is
 * @param everywhere asks the nodes of all data centres instead of the data centre of the node asked
 */
public record ShowStatement(
        ShowTopic topic,
        Optional<ShedGrouping> grouping,
        Optional<Duration> last,
        Optional<RequestId> request,
        Optional<ServiceName> service,
        Optional<NodeId> node,
        boolean everywhere)
        implements Statement {

    /** How far back a statement looks that does not say so. */
    public static final Duration DEFAULT_LAST = Duration.ofMinutes(5);

    public ShowStatement {
        Objects.requireNonNull(topic, "topic");
    }

    public static ShowStatement of(ShowTopic topic) {
        return new ShowStatement(
                topic, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), false);
    }

    /** The same without {@code everywhere}, as a node asks another for its part. */
    public ShowStatement here() {
        return new ShowStatement(topic, grouping, last, request, service, node, false);
    }

    public ShedGrouping groupingOrDefault() {
        return grouping.orElse(ShedGrouping.CLASS);
    }

    public Duration lastOrDefault() {
        return last.orElse(DEFAULT_LAST);
    }

    @Override
    public String text() {
        StringBuilder text = new StringBuilder("show ").append(topic.word());
        grouping.ifPresent(by -> text.append(" by ").append(by.word()));
        last.ifPresent(length -> text.append(" last ").append(Durations.format(length)));
        request.ifPresent(id -> text.append(" request ").append(id));
        service.ifPresent(name -> text.append(" service ").append(name));
        node.ifPresent(id -> text.append(" node ").append(id));
        return text.append(everywhere ? " everywhere" : "").toString();
    }
}
