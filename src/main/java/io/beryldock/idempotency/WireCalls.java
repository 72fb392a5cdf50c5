package io.beryldock.idempotency;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.Answer;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.CallResult;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.Outcome;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.wire.WireCall;
import io.beryldock.wire.WireContext;
import io.beryldock.wire.WireHeader;
import io.beryldock.wire.WireId;
import io.beryldock.wire.WireLevel;
import io.beryldock.wire.WireResult;
import java.util.List;
import java.util.Optional;

/**
 * Turns calls and results into their messages and back.
 *
 * <p>Reading throws an unchecked exception when a message is malformed. Stateless, thread safe.
 */
final class WireCalls {

    /** Outcomes in the order of their numbers on the wire. */
    private static final ImmutableList<Outcome> OUTCOMES =
            ImmutableList.of(Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN);

    private WireCalls() {}

    static WireCall toWire(Call call, CallerIdentity identity) {
        return WireCall.newBuilder()
                .setId(toWire(call.id()))
                .setCaller(call.caller().value())
                .setService(call.service().value())
                .setMethod(call.method())
                .setPath(call.path())
                .addAllHeaders(toWire(call.headers()))
                .setBody(call.body())
                .setIdempotent(call.idempotent())
                .setKey(call.key().orElse(""))
                .setContext(toWire(call.context()))
                .setCallerIdentity(identity.hash())
                .build();
    }

    static Call fromWire(WireCall wire) {
        return new Call(
                fromWire(wire.getId()),
                ServiceName.of(wire.getCaller()),
                ServiceName.of(wire.getService()),
                wire.getMethod(),
                wire.getPath(),
                fromWire(wire.getHeadersList()),
                wire.getBody(),
                wire.getIdempotent(),
                wire.getKey().isEmpty() ? Optional.empty() : Optional.of(wire.getKey()),
                fromWire(wire.getContext()));
    }

    static WireResult toWire(CallResult result) {
        WireResult.Builder wire = WireResult.newBuilder()
                .setOutcome(OUTCOMES.indexOf(result.outcome()))
                .setReason(result.reason().map(Reason::name).orElse(""))
                .setDetail(result.detail())
                .setRetryAfterMillis(result.retryAfterMillis())
                .setUnspentRetries(result.unspentRetries())
                .setSpentNanos(result.spentNanos());
        result.answer()
                .ifPresent(answer -> wire.setStatus(answer.status())
                        .addAllHeaders(toWire(answer.headers()))
                        .setBody(answer.body()));
        result.levels()
                .forEach(level -> wire.addLevels(WireLevel.newBuilder()
                        .setService(level.service().value())
                        .setLevel(level.level())));
        return wire.build();
    }

    static CallResult fromWire(WireResult wire) {
        Outcome outcome = OUTCOMES.get(wire.getOutcome());
        ImmutableList<ServiceLevel> levels = wire.getLevelsList().stream()
                .map(level -> new ServiceLevel(ServiceName.of(level.getService()), level.getLevel()))
                .collect(ImmutableList.toImmutableList());
        Optional<Answer> answer = outcome == Outcome.ANSWERED
                ? Optional.of(new Answer(wire.getStatus(), fromWire(wire.getHeadersList()), wire.getBody()))
                : Optional.empty();
        Optional<Reason> reason =
                outcome == Outcome.ANSWERED ? Optional.empty() : Optional.of(Reason.valueOf(wire.getReason()));
        return new CallResult(
                outcome,
                answer,
                reason,
                wire.getDetail(),
                wire.getRetryAfterMillis(),
                wire.getUnspentRetries(),
                levels,
                wire.getSpentNanos());
    }

    private static WireId toWire(RequestId id) {
        return WireId.newBuilder()
                .setIncarnationHigh(id.incarnation().high())
                .setIncarnationLow(id.incarnation().low())
                .setCounter(id.counter())
                .build();
    }

    private static RequestId fromWire(WireId wire) {
        return new RequestId(new Incarnation(wire.getIncarnationHigh(), wire.getIncarnationLow()), wire.getCounter());
    }

    private static List<WireHeader> toWire(Headers headers) {
        return headers.list().stream()
                .map(header -> WireHeader.newBuilder()
                        .setName(header.name())
                        .setValue(header.value())
                        .build())
                .collect(ImmutableList.toImmutableList());
    }

    private static Headers fromWire(List<WireHeader> wire) {
        return Headers.of(wire.stream()
                .map(header -> new Headers.Header(header.getName(), header.getValue()))
                .collect(ImmutableList.toImmutableList()));
    }

    private static WireContext toWire(CallContext context) {
        return WireContext.newBuilder()
                .setRoot(toWire(context.root()))
                .setParent(toWire(context.parent()))
                .setPriorityName(context.priority().name())
                .setPriorityRank(context.priority().rank())
                .setRemainingNanos(context.remainingNanos())
                .setRetryAllowance(context.retryAllowance())
                .setDepth(context.depth())
                .setCallerHash(context.callerHash())
                .setSunkNanos(context.sunkNanos())
                .setRetriedAncestor(context.retriedAncestor())
                .build();
    }

    private static CallContext fromWire(WireContext wire) {
        return new CallContext(
                fromWire(wire.getRoot()),
                fromWire(wire.getParent()),
                PriorityClass.of(wire.getPriorityName(), wire.getPriorityRank()),
                wire.getRemainingNanos(),
                wire.getRetryAllowance(),
                wire.getDepth(),
                wire.getCallerHash(),
                wire.getSunkNanos(),
                wire.getRetriedAncestor());
    }
}
