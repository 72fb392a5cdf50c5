package io.beryldock.measure;

import com.google.common.collect.ImmutableList;
import io.beryldock.http.BeryldockHeaders;
import io.beryldock.measure.Scenario.Patience;
import io.beryldock.measure.Topology.KeyKind;
import io.beryldock.measure.UserRequest.Verdict;
import io.beryldock.time.TimerService;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.Header;

/**
 * Behaves as a user does: asks at some node, hangs up when it takes too long, and asks again if that does no harm.
 *
 * <p>Thread safe. Invariant: each request that was started ends once. A request that must not run twice is asked again
 * only with the same ticket or key.
 */
final class RequestDriver {

    private static final int CREATED = 201;
    private static final long MILLIS_PER_SECOND = 1000;

    private final CloseableHttpAsyncClient client;
    private final TimerService timers;
    private final ImmutableList<InetSocketAddress> entries;
    private final Patience patience;
    private final long seed;
    private final OverheadMeter overhead;
    private final Consumer<UserRequest> ended;

    private RequestDriver(Parts parts) {
        this.client = parts.client();
        this.timers = parts.timers();
        this.entries = parts.entries();
        this.patience = parts.patience();
        this.seed = parts.seed();
        this.overhead = parts.overhead();
        this.ended = parts.ended();
    }

    /**
     * What a driver works with.
     *
     * @param entries callers' listeners of the nodes
     * @param ended is told of each request that has ended
     */
    record Parts(
            CloseableHttpAsyncClient client,
            TimerService timers,
            ImmutableList<InetSocketAddress> entries,
            Patience patience,
            long seed,
            OverheadMeter overhead,
            Consumer<UserRequest> ended) {}

    static RequestDriver create(Parts parts) {
        return new RequestDriver(parts);
    }

    /** Asks for the first time; never blocks. */
    void start(UserRequest request) {
        attempt(request, Optional.empty());
    }

    private void attempt(UserRequest request, Optional<String> ticket) {
        if (request.callers().key() == KeyKind.TICKET && ticket.isEmpty()) {
            mint(request);
            return;
        }
        SimpleHttpRequest message = message(request, request.callers().method(), request.pathAndQuery());
        ticket.ifPresent(text -> message.setHeader(BeryldockHeaders.TICKET, text));
        if (request.callers().key() == KeyKind.CALLER_KEY) {
            message.setHeader(BeryldockHeaders.IDEMPOTENCY_KEY, request.token());
        }
        long sent = timers.ticker().nanos();
        send(message, new Exchange() {
            @Override
            void answered(SimpleHttpResponse response) {
                Verdict verdict = judge(request, response);
                if (verdict == Verdict.COMPLETE && request.attempts() == 0) {
                    measure(response, timers.ticker().nanos() - sent);
                }
                next(request, ticket, verdict, retryAfterMillis(response));
            }

            @Override
            void broken() {
                next(request, ticket, Verdict.NO_ANSWER, 0);
            }
        });
    }

    /** Takes a ticket; nothing runs before there is one. */
    private void mint(UserRequest request) {
        send(message(request, "POST", "/beryldock/tickets"), new Exchange() {
            @Override
            void answered(SimpleHttpResponse response) {
                Header ticket = response.getFirstHeader(BeryldockHeaders.TICKET);
                if (response.getCode() == CREATED && ticket != null) {
                    attempt(request, Optional.of(ticket.getValue()));
                } else {
                    next(request, Optional.empty(), Verdict.NOT_RUN, retryAfterMillis(response));
                }
            }

            @Override
            void broken() {
                next(request, Optional.empty(), Verdict.NOT_RUN, 0);
            }
        });
    }

    private SimpleHttpRequest message(UserRequest request, String method, String pathAndQuery) {
        SplittableRandom random =
                new SplittableRandom(seed + 31L * request.token().hashCode() + request.attempts());
        InetSocketAddress entry = entries.get(random.nextInt(entries.size()));
        String uri = "http://" + entry.getHostString() + ":" + entry.getPort() + pathAndQuery;
        SimpleHttpRequest message =
                SimpleRequestBuilder.create(method).setUri(uri).build();
        message.setHeader("Authorization", "Bearer user-" + request.user());
        return message;
    }

    private void send(SimpleHttpRequest message, Exchange exchange) {
        Future<SimpleHttpResponse> sent = client.execute(message, exchange);
        TimerService.Subscription end = timers.after(Duration.ofMillis(patience.millis()), () -> {
            exchange.cancelled();
            sent.cancel(true);
        });
        exchange.onEnd(end::cancel);
    }

    private static Verdict judge(UserRequest request, SimpleHttpResponse response) {
        Header outcome = response.getFirstHeader(BeryldockHeaders.OUTCOME);
        String body = response.getBodyText();
        return AnswerChecker.judge(
                response.getCode(),
                outcome == null ? "" : outcome.getValue(),
                body == null ? "" : body,
                request.token(),
                request.path());
    }

    private void measure(SimpleHttpResponse response, long nanos) {
        AnswerChecker.ownNanos(response.getBodyText()).ifPresent(own -> overhead.addThrough(nanos - own));
    }

    private static long retryAfterMillis(SimpleHttpResponse response) {
        Header header = response.getFirstHeader("Retry-After");
        try {
            return header == null ? 0 : Long.parseLong(header.getValue()) * MILLIS_PER_SECOND;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void next(UserRequest request, Optional<String> ticket, Verdict verdict, long retryAfterMillis) {
        request.add(verdict);
        boolean again = verdict != Verdict.COMPLETE
                && verdict != Verdict.CROSSED
                && request.callers().repeatable()
                && request.attempts() <= patience.resends();
        if (!again) {
            request.end(timers.ticker().nanos());
            ended.accept(request);
            return;
        }
        long wait = patience.heedsRetryAfter()
                ? Math.max(retryAfterMillis, patience.resendMillis())
                : patience.resendMillis();
        timers.after(Duration.ofMillis(wait), () -> attempt(request, ticket));
    }

    /** One exchange that ends once: by its answer, its failure, or the user's giving up. */
    private abstract static class Exchange implements FutureCallback<SimpleHttpResponse> {

        private final AtomicBoolean over = new AtomicBoolean();
        private volatile Runnable onEnd = () -> {};

        abstract void answered(SimpleHttpResponse response);

        abstract void broken();

        void onEnd(Runnable task) {
            onEnd = task;
            if (over.get()) {
                task.run();
            }
        }

        @Override
        public void completed(SimpleHttpResponse response) {
            if (over.compareAndSet(false, true)) {
                onEnd.run();
                answered(response);
            }
        }

        @Override
        public void failed(Exception failure) {
            cancelled();
        }

        @Override
        public void cancelled() {
            if (over.compareAndSet(false, true)) {
                onEnd.run();
                broken();
            }
        }
    }
}
