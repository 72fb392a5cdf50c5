package io.beryldock.promises;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Stopwatch;
import io.beryldock.node.RunningNode;
import io.beryldock.standin.StandinException;
import io.beryldock.standin.StandinTarget;
import io.beryldock.store.StoreFaults;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Steps of the features: requests by HTTP to real nodes, and what the targets' run logs hold. */
public final class PromiseSteps {

    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final String LIBRARIAN = "Bearer librarian";
    private static final int OK = 200;

    private final HttpClient client = HttpClient.newHttpClient();
    private final List<HttpResponse<String>> responses = new ArrayList<>();
    private SmallDeployment deployment;
    private Optional<TargetSupervisor> supervisor = Optional.empty();
    private String ticket = "";
    private int crashes;
    private long runsBefore;
    private long ordersBefore;
    private CompletableFuture<HttpResponse<String>> underWay;

    @After
    public void close() throws Exception {
        if (supervisor.isPresent()) {
            supervisor.get().close();
        }
        deployment.close();
    }

    @Given("a node in gent-a with a target of lists and a node in gent-b with a target of orders")
    public void start() throws Exception {
        deployment = new SmallDeployment();
        for (RunningNode node : List.of(deployment.gentA(), deployment.gentB())) {
            await(() -> send(get(node, "/lists/ready", "Bearer probe")).statusCode() == OK);
            await(() -> send(post(node, "/orders/ready", "Bearer probe", "").build())
                            .statusCode()
                    == OK);
        }
        runsBefore = runs(deployment.lists()) + runs(deployment.orders());
        ordersBefore = runs(deployment.orders());
    }

    @Given("a librarian's ticket of the node in gent-a")
    public void takeTicket() {
        HttpResponse<String> response = send(
                post(deployment.gentA(), "/beryldock/tickets", LIBRARIAN, "").build());
        ticket = response.headers().firstValue("Beryldock-Ticket").orElseThrow();
    }

    @Given("the platform store is down")
    public void stopStore() {
        deployment.platform().store().setFaults(StoreFaults.none().withDown(true));
    }

    @Given("the target of orders takes its time")
    public void slowOrders() {
        deployment.orders().setFaults(deployment.orders().faults().withSlowFactor(1500));
    }

    @Given("the target of lists crashes on requests that hold {string}")
    public void crashOn(String marker) {
        deployment.lists().setFaults(deployment.lists().faults().withCrashMarker(marker));
    }

    @Given("a supervisor starts the target of lists again as soon as it has crashed")
    public void superviseLists() {
        supervisor = Optional.of(TargetSupervisor.start(deployment.lists()));
    }

    @When("a lecturer asks the node in gent-b for {string}")
    public void ask(String path) {
        responses.add(send(get(deployment.gentB(), path, "Bearer lecturer")));
    }

    @When("a librarian orders {string} with a body of {int} bytes")
    public void orderWithBody(String path, int bytes) {
        responses.add(send(
                post(deployment.gentA(), path, LIBRARIAN, "x".repeat(bytes)).build()));
    }

    @When("the librarian orders {string} under the ticket {int} times at once at both nodes")
    public void orderUnderTicket(String path, int times) {
        orderAtOnce(path, times, "Beryldock-Ticket", ticket);
    }

    @When("the librarian orders {string} under the key {string} {int} times at once at both nodes")
    public void orderUnderKey(String path, String key, int times) {
        orderAtOnce(path, times, "Idempotency-Key", key);
    }

    private void orderAtOnce(String path, int times, String header, String value) {
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int i = 0; i < times; i++) {
            RunningNode node = i % 2 == 0 ? deployment.gentA() : deployment.gentB();
            HttpRequest request =
                    post(node, path, LIBRARIAN, "order").header(header, value).build();
            sent.add(client.sendAsync(request, BodyHandlers.ofString()));
        }
        sent.forEach(future -> responses.add(future.join()));
    }

    @When("another caller orders {string} under the ticket")
    public void orderAsAnother(String path) {
        responses.add(send(post(deployment.gentB(), path, "Bearer stranger", "order")
                .header("Beryldock-Ticket", ticket)
                .build()));
    }

    @When("an order is under way and the target of orders leaves")
    public void leaveUnderWay() {
        HttpRequest request =
                post(deployment.gentA(), "/orders/slow", LIBRARIAN, "").build();
        underWay = client.sendAsync(request, BodyHandlers.ofString());
        await(() -> deployment.orders().busy() > 0);
        CompletableFuture<Void> unused = deployment.orders().leave();
        await(() -> deployment.gentB().targetState().equals("leaving"));
    }

    @When("a lecturer asks again and again for {string} while the target is restarted")
    public void askUntilQuarantined(String path) {
        await(() -> {
            HttpResponse<String> response = send(get(deployment.gentB(), path, "Bearer lecturer"));
            responses.add(response);
            restartCrashed();
            return response.body().contains("QUARANTINED");
        });
    }

    @When("a lecturer asks again and again for {string}")
    public void askUntilRefused(String path) {
        await(() -> {
            HttpResponse<String> response = send(get(deployment.gentB(), path, "Bearer lecturer"));
            responses.add(response);
            return response.body().contains("QUARANTINED");
        });
    }

    private void restartCrashed() {
        StandinTarget target = deployment.lists();
        if (target.isCrashed()) {
            crashes++;
            try {
                target.restart();
            } catch (StandinException e) {
                throw new IllegalStateException("the target can't be restarted", e);
            }
        }
    }

    @Then("the outcome is {word}")
    public void outcomeIs(String outcome) {
        assertThat(outcome(lastResponse())).isEqualTo(outcome);
    }

    @Then("the outcome is {word} because of {word}")
    public void outcomeIs(String outcome, String reason) {
        outcomeIs(outcome);
        assertThat(lastResponse().body())
                .contains("\"reason\":\"" + reason + "\"")
                .contains("\"remedy\":");
    }

    @Then("the answer echoes {string}")
    public void answerEchoes(String token) {
        assertThat(lastResponse().body()).contains("\"echo\":\"" + token + "\"");
    }

    @Then("every outcome is ANSWERED")
    public void everyOutcomeIsAnswered() {
        assertThat(responses)
                .allSatisfy(response ->
                        assertThat(outcome(response)).as(response.body()).isEqualTo("ANSWERED"));
    }

    @Then("no outcome is ANSWERED")
    public void noOutcomeIsAnswered() {
        assertThat(responses).noneMatch(response -> outcome(response).equals("ANSWERED"));
    }

    @Then("all answers are the same")
    public void allAnswersAreTheSame() {
        assertThat(responses.stream().map(HttpResponse::body).distinct()).hasSize(1);
    }

    @Then("no target has run anything")
    public void nothingRan() {
        assertThat(runs(deployment.lists()) + runs(deployment.orders())).isEqualTo(runsBefore);
    }

    @Then("the target of orders has run {long} request(s)")
    public void ordersRan(long count) {
        assertThat(runs(deployment.orders()) - ordersBefore).isEqualTo(count);
    }

    @Then("the order under way is ANSWERED")
    public void orderUnderWayIsAnswered() {
        assertThat(outcome(underWay.join())).as(underWay.join().body()).isEqualTo("ANSWERED");
    }

    @Then("a new order is NOT_RUN")
    public void newOrderIsNotRun() {
        HttpResponse<String> response =
                send(post(deployment.gentA(), "/orders/late", LIBRARIAN, "").build());
        assertThat(outcome(response)).as(response.body()).isEqualTo("NOT_RUN");
    }

    @Then("the target of lists has crashed at most {int} times")
    public void crashedAtMost(int most) {
        assertThat(crashes).isBetween(1, most);
    }

    @Then("the supervisor has started the target of lists at most {int} times")
    public void startedAtMost(int most) {
        assertThat(supervisor.orElseThrow().restarts()).isBetween(1, most);
    }

    private HttpResponse<String> lastResponse() {
        return responses.get(responses.size() - 1);
    }

    private static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue("Beryldock-Outcome").orElse("none");
    }

    private static long runs(StandinTarget target) {
        return target.runs().all().size();
    }

    private HttpResponse<String> send(HttpRequest request) {
        return client.sendAsync(request, BodyHandlers.ofString()).join();
    }

    private static HttpRequest get(RunningNode node, String path, String credentials) {
        return HttpRequest.newBuilder(uri(node, path))
                .header("Authorization", credentials)
                .build();
    }

    private static HttpRequest.Builder post(RunningNode node, String path, String credentials, String body) {
        return HttpRequest.newBuilder(uri(node, path))
                .header("Authorization", credentials)
                .POST(BodyPublishers.ofString(body));
    }

    private static URI uri(RunningNode node, String path) {
        return URI.create("http://127.0.0.1:" + node.callersAddress().getPort() + path);
    }

    /** Waits for what must come; only a fault makes it wait until its patience ends. */
    private static void await(BooleanSupplier condition) {
        Stopwatch waited = Stopwatch.createStarted();
        while (!condition.getAsBoolean()) {
            assertThat(waited.elapsed()).as("time waited").isLessThan(PATIENCE);
            Thread.onSpinWait();
        }
    }
}
