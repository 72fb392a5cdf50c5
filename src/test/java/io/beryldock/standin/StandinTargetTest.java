package io.beryldock.standin;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import io.beryldock.settings.SettingsException;
import io.beryldock.settings.SettingsReader;
import io.beryldock.standin.StandinTargetSettings.InnerCall;
import io.beryldock.standin.StandinTargetSettings.ServiceTime;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.core5.http.ContentType;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class StandinTargetTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final StandinTargetSettings ONE_SLOT = StandinTargetSettings.of("lists", 1, ServiceTime.fixed(0));

    private final StandinResources resources = StandinResources.start();

    @AfterEach
    void stop() {
        resources.close();
    }

    @Test
    void anAnswerNamesItsRequestAndThoseOfItsInnerCalls() throws Exception {
        try (StandinTarget inner = start(StandinTargetSettings.of("catalogue", 2, ServiceTime.exponential(1)));
                StandinTarget outer = start(
                        ONE_SLOT.withNode("http://127.0.0.1:" + inner.address().getPort())
                                .withInnerCalls(ImmutableList.of(
                                        new InnerCall("/lists", null, "GET", "/catalogue/titles"),
                                        new InnerCall("/lists", "POST", "GET", "/catalogue/never"))))) {
            SimpleHttpResponse response = get(outer, "/lists/1?echo=t7").get();
            JsonNode page = JSON.readTree(response.getBodyText());
            assertThat(page.get("echo").asText()).isEqualTo("t7");
            assertThat(page.get("inner")).hasSize(1);
            assertThat(page.get("inner").get(0).get("echo").asText()).isEqualTo("t7.0");
            RunRecord run = inner.runs().all().stream()
                    .filter(record -> record.path().equals("/catalogue/titles"))
                    .findFirst()
                    .orElseThrow();
            assertThat(run.rootEcho()).isEqualTo("t7");
        }
    }

    @Test
    void theContextHeaderIsCopiedToInnerCallsAsItIs() throws Exception {
        try (StandinTarget inner = start(StandinTargetSettings.of("catalogue", 2, ServiceTime.fixed(0)));
                StandinTarget outer = start(ONE_SLOT.withNode(
                                "http://127.0.0.1:" + inner.address().getPort())
                        .withInnerCalls(ImmutableList.of(new InnerCall("/lists", null, "GET", "/catalogue"))))) {
            SimpleHttpRequest request = request(outer, "GET", "/lists?echo=a");
            request.setHeader("Beryldock-Context", "v=1; odd text, kept");
            assertThat(execute(request).get().getCode()).isEqualTo(200);
            assertThat(inner.runs().all()).anyMatch(run -> run.context().equals("v=1; odd text, kept"));
        }
    }

    @Test
    void aFailedInnerCallFailsThePage() throws Exception {
        try (StandinTarget inner = start(StandinTargetSettings.of("catalogue", 2, ServiceTime.fixed(0)));
                StandinTarget outer = start(ONE_SLOT.withNode(
                                "http://127.0.0.1:" + inner.address().getPort())
                        .withInnerCalls(ImmutableList.of(new InnerCall("/lists", null, "GET", "/catalogue"))))) {
            inner.setFaults(TargetFaults.none().withErrorShare(1));
            assertThat(get(outer, "/lists?echo=a").get().getCode()).isEqualTo(502);
        }
    }

    /**
     * Two requests come to a target with one slot, a third finds its queue of one full. Only the third is refused, with
     * the marker that it did not run, and the log agrees.
     */
    @Test
    void slotsAndQueueAreEnforced() throws Exception {
        try (StandinTarget target = start(ONE_SLOT.withQueue(1))) {
            target.setFaults(TargetFaults.none().withHang(true));
            Future<SimpleHttpResponse> running = get(target, "/lists?echo=running");
            until(() -> target.busy() == 1);
            Future<SimpleHttpResponse> waiting = get(target, "/lists?echo=waiting");
            until(() -> target.waiting() == 1);
            SimpleHttpResponse refused = get(target, "/lists?echo=refused").get();
            assertThat(refused.getCode()).isEqualTo(503);
            assertThat(refused.getFirstHeader("Beryldock-Refused").getValue()).isEqualTo("not-run");
            target.setFaults(TargetFaults.none());
            assertThat(waiting.get().getCode()).isEqualTo(200);
            assertThatThrownBy(running::get).isInstanceOf(ExecutionException.class);
            assertThat(target.runs().all()).extracting(RunRecord::echo).containsExactly("running", "waiting");
        }
    }

    @Test
    void aWaitingRequestWhoseCallerHungUpNeverRuns() throws Exception {
        try (StandinTarget target = start(ONE_SLOT)) {
            target.setFaults(TargetFaults.none().withHang(true));
            Future<SimpleHttpResponse> running = get(target, "/lists?echo=running");
            until(() -> target.busy() == 1);
            Future<SimpleHttpResponse> gone = get(target, "/lists?echo=gone");
            until(() -> target.waiting() == 1);
            gone.cancel(true);
            until(() -> target.inFlight() == 1);
            target.setFaults(TargetFaults.none());
            assertThatThrownBy(running::get).isInstanceOf(ExecutionException.class);
            assertThat(get(target, "/lists?echo=last").get().getCode()).isEqualTo(200);
            assertThat(target.runs().all()).extracting(RunRecord::echo).containsExactly("running", "last");
        }
    }

    /** A marked request kills the process that runs it; its caller sees the connection break, the log shows the run. */
    @Test
    void aMarkedRequestCrashesItAndItCanRestartAtTheSameAddress() throws Exception {
        try (StandinTarget target = start(ONE_SLOT)) {
            target.setFaults(TargetFaults.none().withCrashMarker("poison"));
            InetSocketAddress address = target.address();
            assertThatThrownBy(() -> get(target, "/lists/poison?echo=a").get()).isInstanceOf(ExecutionException.class);
            until(target::isCrashed);
            target.restart();
            assertThat(target.address()).isEqualTo(address);
            assertThat(get(target, "/lists/1?echo=b").get().getCode()).isEqualTo(200);
            assertThat(target.runs().all()).extracting(RunRecord::echo).containsExactly("a", "b");
        }
    }

    /**
     * Something between node and target loses track of the open connections: what is sent on them vanishes for good,
     * while
     * new connections work.
     */
    @Test
    void silencedConnectionsNeverAnswerAndNewOnesDo() throws Exception {
        try (StandinTarget target = start(ONE_SLOT)) {
            try (RawConnection old = RawConnection.open(target.address())) {
                assertThat(old.get("/lists?echo=before")).contains("200");
                target.silenceOpenConnections();
                old.send("/lists?echo=lost");
                try (RawConnection fresh = RawConnection.open(target.address())) {
                    assertThat(fresh.get("/lists?echo=after")).contains("200");
                }
                assertThat(old.hasAnswer()).isFalse();
            }
            assertThat(target.runs().all()).extracting(RunRecord::echo).containsExactly("before", "after");
        }
    }

    @Test
    void itAnnouncesItselfAndSaysWhenItLeaves() throws Exception {
        BlockingQueue<String> announced = new LinkedBlockingQueue<>();
        try (HttpListener node = listener(exchange -> {
                    announced.add(exchange.method() + " " + exchange.path() + " " + new String(exchange.body(), UTF_8));
                    exchange.answerJson(200, "{}");
                });
                StandinTarget target = start(
                        ONE_SLOT.withNode("http://127.0.0.1:" + node.address().getPort()))) {
            String address = "127.0.0.1:" + target.address().getPort();
            String ready = "{\"service\":\"lists\",\"address\":\"" + address + "\",\"slots\":1,\"state\":\"READY\"}";
            assertThat(announced.take()).isEqualTo("POST /beryldock/announce " + ready);
            assertThat(execute(request(target, "POST", "/leave")).get().getCode())
                    .isEqualTo(202);
            String next = announced.take();
            while (next.contains("READY")) {
                next = announced.take();
            }
            assertThat(next).contains("\"state\":\"LEAVING\"");
            target.leave().get();
        }
    }

    @Test
    void aWrongKeyInTheSettingsIsNamedWithItsRemedy() {
        String json = "{\"service\":\"lists\",\"slotz\":3,\"serviceTime\":{\"distribution\":\"FIXED\",\"millis\":1}}";
        assertThatThrownBy(() -> SettingsReader.parse(json, StandinTargetSettings.class))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("slotz")
                .hasMessageContaining("remove or rename the key");
    }

    @Test
    void faultsAreSwitchedOverHttpAndUnknownOnesRefused() throws Exception {
        try (StandinTarget target = start(ONE_SLOT)) {
            SimpleHttpRequest shed = request(target, "POST", "/faults");
            shed.setBody("{\"shedShare\":1}", ContentType.APPLICATION_JSON);
            assertThat(execute(shed).get().getCode()).isEqualTo(200);
            assertThat(get(target, "/lists").get().getCode()).isEqualTo(503);
            SimpleHttpRequest wrong = request(target, "POST", "/faults");
            wrong.setBody("{\"shed\":1}", ContentType.APPLICATION_JSON);
            assertThat(execute(wrong).get().getCode()).isEqualTo(400);
            assertThat(target.faults()).isEqualTo(TargetFaults.none().withShedShare(1));
        }
    }

    /** Waits for a state that the target reaches on another thread. */
    private static void until(Callable<Boolean> condition) throws Exception {
        while (!condition.call()) {
            if (Thread.interrupted()) {
                throw new InterruptedException("the target never reached the state");
            }
            Thread.onSpinWait();
        }
    }

    private StandinTarget start(StandinTargetSettings settings) throws StandinException {
        return StandinTarget.start(settings, resources);
    }

    private HttpListener listener(HttpListener.ExchangeHandler handler) throws StandinException {
        return HttpListener.start(resources, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), handler);
    }

    private Future<SimpleHttpResponse> get(StandinTarget target, String path) {
        return execute(request(target, "GET", path));
    }

    private static SimpleHttpRequest request(StandinTarget target, String method, String path) {
        String uri = "http://127.0.0.1:" + target.address().getPort() + path;
        return SimpleRequestBuilder.create(method).setUri(uri).build();
    }

    private Future<SimpleHttpResponse> execute(SimpleHttpRequest request) {
        return resources.client().execute(request, null);
    }
}
