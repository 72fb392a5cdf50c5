package io.beryldock.quarantine;

import com.google.protobuf.ByteString;
import io.beryldock.call.Call;
import io.beryldock.call.CallContext;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.RequestId;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceName;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventSink;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time of the check of one call with a body of 1 KB, for several numbers of suspects. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class QuarantineBenchmark {

    @Param({"0", "50", "1000"})
    int suspects;

    private Quarantine quarantine;
    private Call call;

    @Setup
    public void createSuspects() {
        quarantine = Quarantine.create(
                QuarantineTest.node("a"), Ticker.system(), QuarantineSettings.defaults(), EventSink.none());
        List<Fingerprint> inFlight = new ArrayList<>();
        for (int i = 0; i < suspects; i++) {
            inFlight.add(QuarantineTest.request("GET", "/holdings/" + i));
        }
        quarantine.onTargetCrashed(inFlight);
        call = order();
    }

    private static Call order() {
        RequestId id = RequestIds.of(Incarnation.random(new Random(1))).next();
        CallContext context = new CallContext(id, id, PriorityClass.of("orders", 0), 1, 0, 0, 0, 0, false);
        ServiceName service = ServiceName.of("orders");
        ByteString body = ByteString.copyFrom(new byte[1024]);
        Optional<String> none = Optional.empty();
        return new Call(id, service, service, "POST", "/orders", Headers.empty(), body, true, none, context);
    }

    @Benchmark
    public boolean checkStartComplete() {
        Fingerprint fingerprint = Fingerprint.of(call);
        boolean started = quarantine.verdict(fingerprint) == Verdict.FREE && quarantine.onStarted(fingerprint);
        quarantine.onCompleted(fingerprint);
        return started;
    }
}
