package io.beryldock.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.beryldock.forwarding.Announcement;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentType;

/**
 * Announces a target to its own node, again and again.
 *
 * <p>Thread safe. An announcement that the node does not take is no reason to stop: the node may start later.
 */
final class TargetAnnouncer {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/beryldock/announce";
    private static final int LOG_SECONDS = 10;
    private static final int FIRST_ERROR = 300;

    private final CloseableHttpAsyncClient client;
    private final String uri;
    private final Supplier<Announcement> current;
    private final TimerService.Subscription repetition;

    private TargetAnnouncer(
            CloseableHttpAsyncClient client,
            String uri,
            Supplier<Announcement> current,
            TimerService timers,
            Duration period) {
        this.client = client;
        this.uri = uri;
        this.current = current;
        this.repetition = timers.every(period, this::announce);
    }

    /** Announces what the supplier gives, at once and every period, to the node with that loopback listener. */
    static TargetAnnouncer start(
            StandinResources resources, String node, Duration period, Supplier<Announcement> current) {
        TargetAnnouncer announcer =
                new TargetAnnouncer(resources.client(), node + PATH, current, resources.timers(), period);
        announcer.announce();
        return announcer;
    }

    void announce() {
        SimpleHttpRequest request = SimpleRequestBuilder.post(uri)
                .setBody(json(current.get()), ContentType.APPLICATION_JSON)
                .build();
        try {
            var unused = client.execute(request, new Completion(uri));
        } catch (IllegalStateException e) {
            log.atFine().withCause(e).log("the client is closed: nothing is announced any more");
        }
    }

    void stop() {
        repetition.cancel();
    }

    private static String json(Announcement announcement) {
        try {
            return JSON.writeValueAsString(new Document(
                    announcement.service(),
                    announcement.address(),
                    announcement.slots(),
                    announcement.state().name()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an announcement is always JSON", e);
        }
    }

    /** An announcement as it stands in JSON. */
    private record Document(String service, String address, int slots, String state) {}

    private record Completion(String uri) implements FutureCallback<SimpleHttpResponse> {

        @Override
        public void completed(SimpleHttpResponse response) {
            if (response.getCode() >= FIRST_ERROR) {
                log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                        "%s refused the announcement with %d: %s", uri, response.getCode(), response.getBodyText());
            }
        }

        @Override
        public void failed(Exception failure) {
            log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "%s took no announcement (%s): start the node or correct 'node'", uri, failure.getMessage());
        }

        @Override
        public void cancelled() {
            log.atFine().log("an announcement was cancelled");
        }
    }
}
