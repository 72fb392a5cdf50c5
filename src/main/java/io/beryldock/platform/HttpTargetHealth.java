package io.beryldock.platform;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.call.ServiceName;
import io.beryldock.forwarding.Announcement;
import io.beryldock.nettyhttp.HttpCall;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.nettyhttp.HttpReply;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Asks at the health path that the operators' document names for the target's service. Thread safe. */
final class HttpTargetHealth implements TargetHealth {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;
    private static final int OK = 200;

    /** A target that can't queue the question may never answer it; the next heartbeat asks again. */
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client;
    private final Function<ServiceName, Optional<String>> healthPaths;

    HttpTargetHealth(HttpClient client, Function<ServiceName, Optional<String>> healthPaths) {
        this.client = client;
        this.healthPaths = healthPaths;
    }

    @Override
    public CompletableFuture<Boolean> isServing(String id, Announcement announcement) {
        Optional<String> path = healthPaths.apply(ServiceName.of(announcement.service()));
        if (path.isEmpty()) {
            log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "start %s can't be asked whether it serves: no document names a health path of its service", id);
            return CompletableFuture.completedFuture(false);
        }
        Headers headers = Headers.empty().with(PlatformHeaders.HOST, announcement.address());
        HttpCall question = HttpCall.of("GET", path.get(), headers, ByteString.EMPTY);
        return client.send(announcement.socketAddress(), question, TIMEOUT).handle((reply, failure) -> {
            if (failure != null) {
                log.atInfo().withCause(failure).atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                        "start %s gives no answer at its health path; its next heartbeat asks again", id);
            }
            return failure == null && isFrom(id, reply);
        });
    }

    private static boolean isFrom(String id, HttpReply reply) {
        return reply.status() == OK
                && reply.headers()
                        .first(PlatformHeaders.TARGET_ID)
                        .filter(id::equals)
                        .isPresent();
    }
}
