package io.beryldock.forwarding;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.CallContext;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.RequestId;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The {@code Beryldock-Context} header, which a target copies to its inner calls.
 *
 * <p>Immutable. The node in the target's VM finds the running call by {@code call}; the other fields are used only when
 * that node has restarted in the meantime. Example:
 * {@code v=1;call=..-5;root=..-1;class=page;rank=3;ms=1800;depth=1;hash=17}.
 */
public record ContextHeader(
        RequestId call, RequestId root, PriorityClass priority, long remainingMillis, int depth, int callerHash) {

    /** Name of the header. */
    public static final String NAME = "Beryldock-Context";

    private static final String VERSION = "1";
    private static final Splitter.MapSplitter SPLITTER =
            Splitter.on(';').trimResults().withKeyValueSeparator('=');
    private static final Joiner.MapJoiner JOINER = Joiner.on(';').withKeyValueSeparator('=');

    /** Returns the header for the inner calls of a call that its target runs. */
    public static ContextHeader of(RequestId call, CallContext context) {
        long millis = TimeUnit.NANOSECONDS.toMillis(context.remainingNanos());
        return new ContextHeader(
                call, context.root(), context.priority(), millis, context.depth(), context.callerHash());
    }

    /** Parses the text form; empty when it is malformed. */
    public static Optional<ContextHeader> parse(String text) {
        try {
            Map<String, String> parts = SPLITTER.split(text);
            if (!VERSION.equals(parts.get("v"))) {
                return Optional.empty();
            }
            return Optional.of(new ContextHeader(
                    RequestId.parse(parts.get("call")),
                    RequestId.parse(parts.get("root")),
                    PriorityClass.of(parts.get("class"), Integer.parseInt(parts.get("rank"))),
                    Long.parseLong(parts.get("ms")),
                    Integer.parseInt(parts.get("depth")),
                    Integer.parseInt(parts.get("hash"))));
        } catch (IllegalArgumentException | NullPointerException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return JOINER.join(ImmutableMap.<String, Object>builder()
                .put("v", VERSION)
                .put("call", call)
                .put("root", root)
                .put("class", priority.name())
                .put("rank", priority.rank())
                .put("ms", remainingMillis)
                .put("depth", depth)
                .put("hash", callerHash)
                .build());
    }
}
