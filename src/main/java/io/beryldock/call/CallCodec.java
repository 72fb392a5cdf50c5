package io.beryldock.call;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.wire.WireCall;
import io.beryldock.wire.WireContext;
import io.beryldock.wire.WireHeader;
import io.beryldock.wire.WireId;
import io.beryldock.wire.WireLevel;
import io.beryldock.wire.WireResult;
import io.beryldock.wire.WireServiceCost;
import io.beryldock.wire.WireStartNotice;
import io.beryldock.wire.WireTargetLoad;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Encodes calls and results as messages between nodes, and decodes them. Stateless. */
public final class CallCodec {

    private static final ImmutableList<String> REASONS =
            Arrays.stream(Reason.values()).map(Enum::name).collect(ImmutableList.toImmutableList());

    private CallCodec() {}

    public static WireCall encode(Call call) {
        return WireCall.newBuilder()
                .setId(encode(call.id()))
                .setCaller(call.caller().value())
                .setService(call.service().value())
                .setMethod(call.method())
                .setPath(call.path())
                .addAllHeaders(encode(call.headers()))
                .setBody(call.body())
                .setIdempotent(call.idempotent())
                .setKey(call.key().orElse(""))
                .setCallerIdentity(call.identity())
                .setContext(encode(call.context()))
                .setOrganisation(
                        call.organisation().map(OrganisationName::value).orElse(""))
                .build();
    }

    public static Call decode(WireCall wire) {
        return new Call(
                decode(wire.getId()),
                ServiceName.of(wire.getCaller()),
                ServiceName.of(wire.getService()),
                wire.getMethod(),
                wire.getPath(),
                decode(wire.getHeadersList()),
                wire.getBody(),
                wire.getIdempotent(),
                wire.getKey().isEmpty() ? Optional.empty() : Optional.of(wire.getKey()),
                wire.getCallerIdentity(),
                decode(wire.getContext()),
                Optional.of(wire.getOrganisation())
                        .filter(name -> !name.isEmpty())
                        .map(OrganisationName::of));
    }

    /** Encodes the result of the call with the given id, which lets the receiver reject the result of another call. */
    public static WireResult encode(RequestId call, CallResult result) {
        return builder(result).setCall(encode(call)).build();
    }

    /** Encodes a result that the receiver matches to its call by other means. */
    public static WireResult encode(CallResult result) {
        return builder(result).build();
    }

    private static WireResult.Builder builder(CallResult result) {
        WireResult.Builder wire = WireResult.newBuilder()
                .setOutcome(result.outcome().number())
                .setReason(result.reason().map(Enum::name).orElse(""))
                .setDetail(result.detail())
                .setRetryAfterMillis(result.retryAfterMillis())
                .setUnspentRetries(result.unspentRetries())
                .setSpentNanos(result.spentNanos());
        result.answer()
                .ifPresent(answer -> wire.setStatus(answer.status())
                        .addAllHeaders(encode(answer.headers()))
                        .setBody(answer.body()));
        result.levels()
                .forEach(level -> wire.addLevels(WireLevel.newBuilder()
                        .setService(level.service().value())
                        .setLevel(level.level())));
        result.cost().services().forEach(cost -> wire.addCosts(encode(cost)));
        result.load().ifPresent(load -> wire.setLoad(encode(load)));
        return wire;
    }

    /**
     * Decodes a result; the outcome is {@link Outcome#UNKNOWN} if the result is malformed or belongs to another call.
     */
    public static CallResult decode(RequestId expected, ByteString body) {
        try {
            WireResult wire = WireResult.parseFrom(body);
            if (!decode(wire.getCall()).equals(expected)) {
                return CallResult.unknown(Reason.INTERNAL, "the reply belongs to another call");
            }
            return decode(wire);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return CallResult.unknown(Reason.INTERNAL, "the reply is malformed: " + e.getMessage());
        }
    }

    public static CallResult decode(WireResult wire) {
        ImmutableList.Builder<ServiceLevel> levels = ImmutableList.builderWithExpectedSize(wire.getLevelsCount());
        for (WireLevel level : wire.getLevelsList()) {
            levels.add(new ServiceLevel(ServiceName.of(level.getService()), level.getLevel()));
        }
        CallResult result = decodeOutcome(wire)
                .withRetryAfterMillis(wire.getRetryAfterMillis())
                .withUnspentRetries(wire.getUnspentRetries())
                .withLevels(levels.build())
                .withSpentNanos(wire.getSpentNanos())
                .withCost(decodeCosts(wire.getCostsList()));
        return wire.hasLoad() ? result.withLoad(decode(wire.getLoad())) : result;
    }

    private static WireServiceCost encode(TreeCost.ServiceCost cost) {
        return WireServiceCost.newBuilder()
                .setService(cost.service().value())
                .setCalls(cost.calls())
                .setBusyMicros(TimeUnit.NANOSECONDS.toMicros(cost.busyNanos()))
                .build();
    }

    private static TreeCost decodeCosts(List<WireServiceCost> wire) {
        if (wire.isEmpty()) {
            return TreeCost.none();
        }
        ImmutableList.Builder<TreeCost.ServiceCost> costs = ImmutableList.builderWithExpectedSize(wire.size());
        for (WireServiceCost cost : wire) {
            long busyNanos = TimeUnit.MICROSECONDS.toNanos(cost.getBusyMicros());
            costs.add(new TreeCost.ServiceCost(ServiceName.of(cost.getService()), cost.getCalls(), busyNanos));
        }
        return new TreeCost(costs.build());
    }

    private static WireTargetLoad encode(TargetLoad load) {
        WireTargetLoad.Builder wire = WireTargetLoad.newBuilder()
                .setVersion(load.version())
                .setLimit(load.limit())
                .setRunning(load.running())
                .setQueued(load.queued())
                .setMeanMicros(TimeUnit.NANOSECONDS.toMicros(load.meanNanos()))
                .setCold(load.cold())
                .setDraining(load.draining());
        if (load.rateRoom() < Integer.MAX_VALUE) {
            wire.setRateRoom(load.rateRoom());
        }
        load.notice().ifPresent(notice -> wire.setNotice(encode(notice)));
        return wire.build();
    }

    public static WireStartNotice encode(StartNotice notice) {
        WireStartNotice.Builder wire =
                WireStartNotice.newBuilder().setStart(notice.start()).setLeaving(notice.leaving());
        if (notice.isLimited()) {
            wire.setRatePerSecond(notice.ratePerSecond());
        }
        return wire.build();
    }

    /**
     * Decodes a notice.
     *
     * @throws IllegalArgumentException if the start is missing or the rate is negative or not a number
     */
    public static StartNotice decode(WireStartNotice wire) {
        double rate = wire.hasRatePerSecond() ? wire.getRatePerSecond() : TargetNotice.UNLIMITED;
        return new StartNotice(wire.getStart(), rate, wire.getLeaving());
    }

    private static TargetLoad decode(WireTargetLoad wire) {
        return new TargetLoad(
                wire.getVersion(),
                wire.getLimit(),
                wire.getRunning(),
                wire.getQueued(),
                TimeUnit.MICROSECONDS.toNanos(wire.getMeanMicros()),
                wire.getCold(),
                wire.getDraining(),
                wire.hasRateRoom() ? wire.getRateRoom() : Integer.MAX_VALUE,
                wire.hasNotice() ? Optional.of(decode(wire.getNotice())) : Optional.empty());
    }

    private static CallResult decodeOutcome(WireResult wire) {
        Outcome outcome = Outcome.ofNumber(wire.getOutcome());
        if (outcome == Outcome.ANSWERED) {
            return CallResult.answered(new Answer(wire.getStatus(), decode(wire.getHeadersList()), wire.getBody()));
        }
        // A node of a newer version may send a reason that this version does not define.
        Reason reason = REASONS.contains(wire.getReason()) ? Reason.valueOf(wire.getReason()) : Reason.INTERNAL;
        return outcome == Outcome.NOT_RUN
                ? CallResult.notRun(reason, wire.getDetail())
                : CallResult.unknown(reason, wire.getDetail());
    }

    public static WireId encode(RequestId id) {
        return WireId.newBuilder()
                .setIncarnationHigh(id.incarnation().high())
                .setIncarnationLow(id.incarnation().low())
                .setCounter(id.counter())
                .build();
    }

    public static RequestId decode(WireId wire) {
        return new RequestId(new Incarnation(wire.getIncarnationHigh(), wire.getIncarnationLow()), wire.getCounter());
    }

    private static WireContext encode(CallContext context) {
        return WireContext.newBuilder()
                .setRoot(encode(context.root()))
                .setParent(encode(context.parent()))
                .setPriorityName(context.priority().name())
                .setPriorityRank(context.priority().rank())
                .setRemainingNanos(context.remainingNanos())
                .setRetryAllowance(context.retryAllowance())
                .setDepth(context.depth())
                .setCallerHash(context.callerHash())
                .setSunkNanos(context.sunkNanos())
                .setRetriedAncestor(context.retriedAncestor())
                .setCovered(context.covered())
                .setRepeat(context.repeat())
                .setSuspect(context.suspect())
                .setResent(context.resent())
                .build();
    }

    private static CallContext decode(WireContext wire) {
        return new CallContext(
                decode(wire.getRoot()),
                decode(wire.getParent()),
                PriorityClass.of(wire.getPriorityName(), wire.getPriorityRank()),
                wire.getRemainingNanos(),
                wire.getRetryAllowance(),
                wire.getDepth(),
                wire.getCallerHash(),
                wire.getSunkNanos(),
                wire.getRetriedAncestor(),
                wire.getCovered(),
                wire.getRepeat(),
                wire.getSuspect(),
                wire.getResent());
    }

    private static List<WireHeader> encode(Headers headers) {
        List<WireHeader> wire = new ArrayList<>(headers.list().size());
        for (Headers.Header header : headers.list()) {
            wire.add(WireHeader.newBuilder()
                    .setName(header.name())
                    .setValue(header.value())
                    .build());
        }
        return wire;
    }

    private static Headers decode(List<WireHeader> wire) {
        List<Headers.Header> list = new ArrayList<>(wire.size());
        for (WireHeader header : wire) {
            list.add(new Headers.Header(header.getName(), header.getValue()));
        }
        return Headers.of(list);
    }
}
