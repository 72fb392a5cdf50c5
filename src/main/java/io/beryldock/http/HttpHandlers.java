package io.beryldock.http;

import com.codahale.metrics.health.HealthCheck;
import com.google.common.collect.ImmutableMap;
import io.beryldock.forwarding.Announcement;
import io.beryldock.forwarding.RequestHandler;
import jakarta.servlet.Servlet;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Handlers of the node to which the HTTP listeners pass requests. Immutable; all components are thread safe.
 *
 * @param requests handles the requests of callers and of the target
 * @param announcements accepts the announcements of the target
 * @param tickets issues a ticket; empty if the node already holds its maximum number of tickets
 * @param health health check of the node
 * @param adminServlets servlets of the admin listener by path
 */
public record HttpHandlers(
        RequestHandler requests,
        Consumer<Announcement> announcements,
        Supplier<CompletableFuture<Optional<String>>> tickets,
        HealthCheck health,
        ImmutableMap<String, Servlet> adminServlets) {}
