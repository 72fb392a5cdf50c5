package io.beryldock.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.beryldock.store.InMemoryPlatformStore;
import io.beryldock.store.PlatformProtocol;
import io.beryldock.store.StoreFaults;
import java.io.IOException;
import java.time.Duration;

/** Reads and switches the faults of a stand-in store over HTTP. Stateless, thread safe. */
final class StoreFaultsResource {

    private static final ObjectMapper JSON =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private StoreFaultsResource() {}

    static void handle(HttpExchange exchange, InMemoryPlatformStore store) {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /faults" -> {
                store.setFaults(parse(exchange.body()));
                answer(exchange, Document.of(store.faults()));
            }
            case "GET /faults" -> answer(exchange, Document.of(store.faults()));
            case "GET /counts" -> answer(exchange, store.counts());
            case "POST /lapse-leases" -> {
                store.lapseLeases();
                answer(exchange, Document.of(store.faults()));
            }
            default -> exchange.answer(PlatformProtocol.NOT_FOUND, "text/plain", "see docs/PLATFORM-PROTOCOL.md");
        }
    }

    private static StoreFaults parse(byte[] body) {
        try {
            return JSON.readValue(body, Document.class).faults();
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "faults are a JSON object, see docs/PLATFORM-PROTOCOL.md: " + e.getMessage(), e);
        }
    }

    private static void answer(HttpExchange exchange, Object document) {
        try {
            exchange.answerJson(PlatformProtocol.OK, JSON.writeValueAsString(document));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't write " + document, e);
        }
    }

    /** The faults as they stand in JSON; fields left out are off. */
    private record Document(
            boolean down,
            boolean refusing,
            boolean silent,
            long delayMillis,
            int loseNext,
            double loseShare,
            boolean lapsingLeases) {

        static Document of(StoreFaults faults) {
            return new Document(
                    faults.down(),
                    faults.refusing(),
                    faults.silent(),
                    faults.delay().toMillis(),
                    faults.loseNext(),
                    faults.loseShare(),
                    faults.lapsingLeases());
        }

        StoreFaults faults() {
            Duration delay = Duration.ofMillis(delayMillis);
            return new StoreFaults(down, refusing, silent, delay, loseNext, loseShare, lapsingLeases);
        }
    }
}
