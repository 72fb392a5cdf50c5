package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import io.beryldock.call.ServiceName;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.ConfigurationException;
import io.beryldock.configuration.Route;
import io.beryldock.organisation.Organisation;
import io.beryldock.organisation.OrganisationName;
import io.beryldock.organisation.OrganisationTable;
import io.beryldock.organisation.Quota;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class OperatorDocumentTest {

    private static final String TEXT = """
            {"version":"0000001f","routes":{
              "wide":{"hostname":"a.example","pathPrefix":"/x/","type":"safe","timeoutS":0.8,"priority":2,
                      "service":"lists","attempts":2},
              "deep":{"hostname":"a.example","pathPrefix":"/x/y/","type":"unsafe","timeoutS":1,"priority":0,
                      "trafficSplit":[{"service":"orders","weight":90},{"service":"lists","weight":10}],"attempts":3}},
             "services":{"huvo11a":{"healthPath":"/health"},"odd":{"healthPath":7}},
             "limits":{"maxHeaderBytes":2048,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
             "baseVersion":"0000001e","somethingNew":true}
            """;

    private final OperatorDocument decoder = new OperatorDocument();

    private Configuration decoded() throws ConfigurationException {
        return decoder.decode(ByteString.copyFromUtf8(TEXT));
    }

    @Test
    void healthPathsOfServicesAreKnown() throws ConfigurationException {
        decoded();
        assertThat(decoder.healthPath(ServiceName.of("huvo11a"))).hasValue("/health");
        assertThat(decoder.healthPath(ServiceName.of("odd"))).isEmpty();
        assertThat(decoder.healthPath(ServiceName.of("other"))).isEmpty();
    }

    @Test
    void versionIsHexadecimal() throws ConfigurationException {
        assertThat(decoded().version()).isEqualTo(31);
    }

    @Test
    void routeWithLongestPrefixOfTheHostIsFound() throws ConfigurationException {
        Configuration configuration = decoded();
        Route deep =
                configuration.find("a.example:8080", "POST", "/x/y/2f?q=/z/").orElseThrow();
        assertThat(deep.idempotent()).isFalse();
        assertThat(configuration.budgetOf(deep).retries()).isEqualTo(2);
        assertThat(configuration.priorityOf(deep).rank()).isZero();
        Route wide = configuration.find("A.example", "GET", "/x/y").orElseThrow();
        assertThat(wide.deadline()).isEqualTo(Duration.ofMillis(800));
        assertThat(configuration.find("b.example", "GET", "/x/1")).isEmpty();
        assertThat(configuration.find("a.example", "GET", "/x")).isEmpty();
    }

    /** Guards against a failed request for a large body that another target could have served. */
    @Test
    void downloadRoutesAreIdempotent() throws ConfigurationException {
        String text = TEXT.replace("\"safe\"", "\"download\"");
        Configuration configuration = decoder.decode(ByteString.copyFromUtf8(text));
        Route wide = configuration.find("a.example", "GET", "/x/1").orElseThrow();
        assertThat(wide.idempotent()).isTrue();
    }

    /** The latency objective is the one that operators set, but never longer than the route's deadline. */
    @Test
    void objectiveIsCappedAtTheDeadline() throws ConfigurationException {
        String text = TEXT.replace("\"timeoutS\":0.8", "\"timeoutS\":0.8,\"targetLatencyS\":0.4")
                .replace("\"timeoutS\":1,", "\"timeoutS\":1,\"targetLatencyS\":4,");
        Configuration configuration = decoder.decode(ByteString.copyFromUtf8(text));
        Route wide = configuration.find("a.example", "GET", "/x/1").orElseThrow();
        Route deep = configuration.find("a.example", "POST", "/x/y/2").orElseThrow();
        assertThat(wide.objective()).isEqualTo(Duration.ofMillis(400));
        assertThat(deep.objective()).isEqualTo(Duration.ofSeconds(1));
    }

    /**
     * Requests are distributed by weight, whatever capacity the services have; 10,000 draws with a fixed seed stay
     * within 2 in 100.
     */
    @Test
    void requestsAreDistributedByWeight() throws ConfigurationException {
        Route deep = decoded().find("a.example", "POST", "/x/y/1").orElseThrow();
        Random random = new Random(7);
        long orders = IntStream.range(0, 10_000)
                .filter(i -> deep.chooseService(random).equals(ServiceName.of("orders")))
                .count();
        assertThat(orders).isBetween(8_800L, 9_200L);
    }

    @Test
    void listenerLimitsAreDecoded() throws ConfigurationException {
        decoded();
        assertThat(decoder.limits().maxHeaderBytes()).isEqualTo(2048);
        assertThat(decoder.limits().idleTimeout()).isEqualTo(Duration.ofSeconds(15));
    }

    @Test
    void truncatedDocumentIsRejected() {
        assertThatThrownBy(() -> decoder.decode(ByteString.copyFromUtf8(TEXT.substring(0, 100))))
                .isInstanceOf(ConfigurationException.class);
    }

    private static final String WITH_ORGANISATIONS = """
            {"version":"00000002","routes":{
              "browse":{"hostname":"a.example","pathPrefix":"/x/","type":"safe","timeoutS":1,"priority":2,
                        "service":"lists","attempts":2,"public":false},
              "order":{"hostname":"a.example","pathPrefix":"/y/","type":"unsafe","timeoutS":1,"priority":0,
                       "service":"orders","attempts":2},
              "open":{"hostname":"a.example","pathPrefix":"/z/","type":"safe","timeoutS":1,"priority":1,
                      "service":"lists","attempts":2,"public":true}},
             "services":{},"limits":{},
             "tenants":{"first":{"apiKeys":["k1","k2"],"priority":0,"ratePerS":28.5,"burst":57},
                        "usual":{"apiKeys":["k3"],"priority":1},
                        "unlimited":{"apiKeys":[],"priority":1,"ratePerS":0,"burst":9}}}
            """;

    @Test
    void organisationsAreDecodedWithKeysAndQuotas() throws ConfigurationException {
        OrganisationTable table =
                decoder.decode(ByteString.copyFromUtf8(WITH_ORGANISATIONS)).organisations();
        Organisation first = table.findByKey("k2").orElseThrow();
        assertThat(first.name()).isEqualTo(OrganisationName.of("first"));
        assertThat(first.quota()).isEqualTo(new Quota(28.5, 57));
        assertThat(table.findByKey("k3").orElseThrow().quota().isUnlimited()).isTrue();
        assertThat(table.findByName(OrganisationName.of("unlimited"))
                        .orElseThrow()
                        .quota()
                        .isUnlimited())
                .isTrue();
        assertThat(decoded().organisations().isEmpty()).isTrue();
    }

    @Test
    void routesAreOpenOnlyIfMarkedPublic() throws ConfigurationException {
        Configuration configuration = decoder.decode(ByteString.copyFromUtf8(WITH_ORGANISATIONS));
        assertThat(configuration.find("a.example", "GET", "/z/1").orElseThrow().open())
                .isTrue();
        assertThat(configuration.find("a.example", "GET", "/x/1").orElseThrow().open())
                .isFalse();
        assertThat(configuration.find("a.example", "GET", "/y/1").orElseThrow().open())
                .isFalse();
    }

    /** All requests of an organisation with a higher priority rank first; within one rank, orders precede browsing. */
    @Test
    void organisationRankTakesPrecedenceOverRouteRank() throws ConfigurationException {
        Configuration configuration = decoder.decode(ByteString.copyFromUtf8(WITH_ORGANISATIONS));
        Route browse = configuration.find("a.example", "GET", "/x/1").orElseThrow();
        Route order = configuration.find("a.example", "POST", "/y/1").orElseThrow();
        Optional<Organisation> first = configuration.organisations().findByKey("k1");
        Optional<Organisation> usual = configuration.organisations().findByKey("k3");
        assertThat(List.of(
                        configuration.priorityOf(order, first).rank(),
                        configuration.priorityOf(browse, first).rank(),
                        configuration.priorityOf(order, usual).rank(),
                        configuration.priorityOf(browse, usual).rank()))
                .containsExactly(0, 2, 3, 5);
        assertThat(configuration.priorityOf(browse, Optional.empty()).rank()).isEqualTo(2);
    }

    /** Guards against limits of an older document from a restored store, whose version does not take effect. */
    @Test
    void limitsOfOlderDocumentAreIgnored() throws ConfigurationException {
        decoded();
        String older = TEXT.replace("0000001f", "0000001e").replace("\"idleTimeoutS\":15", "\"idleTimeoutS\":2");
        decoder.decode(ByteString.copyFromUtf8(older));
        assertThat(decoder.limits().idleTimeout()).isEqualTo(Duration.ofSeconds(15));
        decoder.decode(ByteString.copyFromUtf8(older.replace("0000001e", "00000020")));
        assertThat(decoder.limits().idleTimeout()).isEqualTo(Duration.ofSeconds(2));
    }
}
