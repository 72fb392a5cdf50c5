package io.beryldock.platform;

import com.google.common.collect.ImmutableSet;
import io.beryldock.call.Answer;
import io.beryldock.call.Call;
import io.beryldock.call.Headers;
import io.beryldock.forwarding.TargetClient;
import io.beryldock.forwarding.TargetExchange;
import io.beryldock.forwarding.TargetReply;
import io.beryldock.http.HeaderFilter;
import io.beryldock.http.TargetNoticeReader;
import io.beryldock.nettyhttp.EchoedId;
import io.beryldock.nettyhttp.HttpCall;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.nettyhttp.HttpExchangeException;
import io.beryldock.nettyhttp.HttpReply;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Sends calls to the target in this VM, with the platform's headers. Thread safe. */
final class PlatformTargetClient implements TargetClient {

    private static final int MISDIRECTED_REQUEST = 421;
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECTION = 300;
    private static final int FIRST_FAILURE = 400;

    /** Statuses that tell a caller that its request has not run and will not run. */
    private static final ImmutableSet<Integer> NOT_RUN_STATUSES = ImmutableSet.of(408, 429, 503);

    private static final TargetNoticeReader NOTICES =
            TargetNoticeReader.create(PlatformHeaders.RATE_LIMIT, PlatformHeaders.LEAVING);

    private final HttpClient client;
    private final Supplier<Optional<LocalTarget>> target;

    PlatformTargetClient(HttpClient client, Supplier<Optional<LocalTarget>> target) {
        this.client = client;
        this.target = target;
    }

    @Override
    public TargetExchange send(Call call, BooleanSupplier sendable) {
        Optional<LocalTarget> current = target.get();
        if (current.isEmpty()) {
            return TargetExchange.unabortable(CompletableFuture.completedFuture(
                    TargetReply.notSent("the target does not announce itself any more")));
        }
        // A target whose slots were all in use never answers the request, nor any later one on that connection.
        Duration limit = Duration.ofNanos(call.context().remainingNanos()).plus(LATE);
        CompletableFuture<HttpReply> reply =
                client.send(current.get().address(), request(call, current.get()), sendable, limit);
        CompletableFuture<TargetReply> result =
                reply.handle((answer, failure) -> failure == null ? read(call, answer) : classify(failure));
        return new TargetExchange(result, () -> reply.cancel(false));
    }

    private static HttpCall request(Call call, LocalTarget current) {
        long millis = TimeUnit.NANOSECONDS.toMillis(call.context().remainingNanos());
        Headers withDeadline = call.headers()
                .with(PlatformHeaders.REMAINING_MILLIS, Long.toString(millis))
                .with(PlatformHeaders.EXPECTED_TARGET, current.id());
        Headers headers = call.organisation()
                .map(name -> withDeadline.with(PlatformHeaders.ORGANISATION, name.value()))
                .orElse(withDeadline);
        EchoedId id = EchoedId.of(PlatformHeaders.REQUEST_ID, headers);
        return new HttpCall(call.method(), call.path(), headers, call.body(), Optional.of(id), !call.idempotent());
    }

    private static TargetReply read(Call call, HttpReply reply) {
        TargetReply decoded = decode(call, reply);
        // A misdirected request was answered by another start of a target, which says nothing about this one.
        return reply.status() == MISDIRECTED_REQUEST ? decoded : decoded.withNotice(NOTICES.read(reply.headers()));
    }

    private static TargetReply decode(Call call, HttpReply reply) {
        boolean marked = reply.headers().first(PlatformHeaders.NOT_EXECUTED).isPresent();
        if (marked && reply.status() < FIRST_FAILURE) {
            return TargetReply.lost("the answer " + reply.status() + " says that it was not run, which can't both be");
        }
        if (marked || reply.status() == MISDIRECTED_REQUEST) {
            return TargetReply.refused("the target answered " + reply.status() + " and says that it did not run it");
        }
        boolean success = reply.status() >= FIRST_SUCCESS && reply.status() < FIRST_REDIRECTION;
        if (success && reply.headers().first(PlatformHeaders.SIGNATURE).isEmpty()) {
            return TargetReply.lost("the answer " + reply.status() + " bears no signature of the target");
        }
        if (!call.idempotent() && NOT_RUN_STATUSES.contains(reply.status())) {
            // Its caller would take the status for a promise that the target has not made.
            return TargetReply.lost("the answer " + reply.status() + " does not say whether the request was run");
        }
        Headers headers = HeaderFilter.withoutHopByHop(reply.headers());
        return TargetReply.answered(new Answer(reply.status(), headers, reply.body()));
    }

    private static TargetReply classify(Throwable failure) {
        if (failure instanceof CancellationException) {
            return TargetReply.givenUp("nobody waits for the answer any more");
        }
        return HttpExchangeException.isNotSent(failure)
                ? TargetReply.notSent(failure.getMessage())
                : TargetReply.lost(failure.toString());
    }
}
