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
 * What the HTTP listeners call in the node. Immutable; every part is thread safe.
 *
 * @param tickets mints a ticket, empty when the node holds as many as it may
 * @param adminServlets servlets of the admin listener by path
 */
public record HttpPorts(
        RequestHandler requests,
        Consumer<Announcement> announcements,
        Supplier<CompletableFuture<Optional<String>>> tickets,
        HealthCheck health,
        ImmutableMap<String, Servlet> adminServlets) {}
