package io.beryldock.nettyhttp;

/** Takes the requests of a listener, complete with their bodies. Called on traffic threads: must not block. */
@FunctionalInterface
public interface HttpHandler {

    /** Answers the exchange now or later, from any thread. */
    void handle(HttpExchange exchange);
}
