package io.beryldock.peer;

import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/** The settings, services and registries that all connections of one transport share. Thread safe. */
final class PeerTransportContext {

    private final PeerTransportSettings settings;
    private final PeerIdentity self;
    private final TimerService timers;
    private final EventSink events;
    private final HelloExchange hello;
    private final PeerCounters counters = new PeerCounters();
    private final Map<Integer, PeerHandler> handlers = new ConcurrentHashMap<>();
    private final SplittableRandom seeds;
    private volatile Optional<PeerTls> tls = Optional.empty();
    private volatile PeerExpectation expectation = PeerExpectation.none();

    private PeerTransportContext(
            PeerTransportSettings settings, PeerIdentity self, TimerService timers, EventSink events) {
        this.settings = settings;
        this.self = self;
        this.timers = timers;
        this.events = events;
        this.hello = HelloExchange.create(self, settings.limits().maxFrameBytes());
        this.seeds = new SplittableRandom(self.incarnation().low());
    }

    static PeerTransportContext create(
            PeerTransportSettings settings, PeerIdentity self, TimerService timers, EventSink events) {
        return new PeerTransportContext(settings, self, timers, events);
    }

    PeerTransportSettings settings() {
        return settings;
    }

    PeerLimits limits() {
        return settings.limits();
    }

    PeerLiveness liveness() {
        return settings.liveness();
    }

    TimerService timers() {
        return timers;
    }

    long now() {
        return timers.ticker().nanos();
    }

    HelloExchange hello() {
        return hello;
    }

    PeerCounters counters() {
        return counters;
    }

    /** Registers the handler of a topic; returns false if the topic already has one. */
    boolean addHandler(PeerTopic topic, PeerHandler handler) {
        return handlers.putIfAbsent(topic.number(), handler) == null;
    }

    Optional<PeerHandler> handler(int topic) {
        return Optional.ofNullable(handlers.get(topic));
    }

    Optional<PeerTls> tls() {
        return tls;
    }

    void setTls(PeerTls loaded) {
        tls = Optional.of(loaded);
    }

    PeerExpectation expectation() {
        return expectation;
    }

    void setExpectation(PeerExpectation other) {
        expectation = other;
    }

    /**
     * Returns a random generator for one link.
     *
     * <p>The seed comes from the incarnation, which differs at each start of each node, so that nodes don't draw the
     * same back-off delays.
     */
    synchronized RandomGenerator newRandom() {
        return seeds.split();
    }

    void record(EventKind kind, String subject, String detail) {
        events.record(kind, subject, detail);
    }

    PeerIdentity self() {
        return self;
    }
}
