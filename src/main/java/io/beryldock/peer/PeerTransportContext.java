package io.beryldock.peer;

import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/** What all connections of one transport share. Thread safe. */
final class PeerHub {

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

    private PeerHub(PeerTransportSettings settings, PeerIdentity self, TimerService timers, EventSink events) {
        this.settings = settings;
        this.self = self;
        this.timers = timers;
        this.events = events;
        this.hello = HelloExchange.create(self, settings.limits().maxFrameBytes());
        this.seeds = new SplittableRandom(self.incarnation().low());
    }

    static PeerHub create(PeerTransportSettings settings, PeerIdentity self, TimerService timers, EventSink events) {
        return new PeerHub(settings, self, timers, events);
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

    /** Registers the handler of a topic; false when it has one. */
    boolean addHandler(PeerTopic topic, PeerHandler handler) {
        return handlers.putIfAbsent(topic.number(), handler) == null;
    }

    Optional<PeerHandler> handler(int topic) {
        return Optional.ofNullable(handlers.get(topic));
    }

    Optional<PeerTls> tls() {
        return tls;
    }

    void useTls(PeerTls loaded) {
        tls = Optional.of(loaded);
    }

    PeerExpectation expectation() {
        return expectation;
    }

    void expect(PeerExpectation other) {
        expectation = other;
    }

    /** Randomness for one link, drawn from the incarnation, which no other start shares. */
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
