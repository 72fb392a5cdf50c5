package io.beryldock.peer;

import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.Frame;
import io.beryldock.wire.Hello;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** What all connections of one transport share. Thread safe. */
record PeerHub(
        PeerTransportSettings settings,
        PeerIdentity self,
        TimerService timers,
        EventSink events,
        PeerCounters counters,
        Map<Integer, PeerHandler> handlers) {

    static PeerHub create(PeerTransportSettings settings, PeerIdentity self, TimerService timers, EventSink events) {
        return new PeerHub(settings, self, timers, events, new PeerCounters(), new ConcurrentHashMap<>());
    }

    Optional<PeerHandler> handler(int topic) {
        return Optional.ofNullable(handlers.get(topic));
    }

    Frame hello() {
        Hello.Builder hello = Hello.newBuilder()
                .setNode(self.node().value())
                .setDataCentre(self.dataCentre().value())
                .setIncarnationHigh(self.incarnation().high())
                .setIncarnationLow(self.incarnation().low());
        return Frame.newBuilder().setHello(hello).build();
    }
}
