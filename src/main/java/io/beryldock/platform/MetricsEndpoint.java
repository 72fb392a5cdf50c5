package io.beryldock.platform;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpAnswer;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;

/** Answers a scrape of the node's metrics as Prometheus text. Thread safe. */
final class MetricsEndpoint {

    /** The path of the metrics, on the listener of readiness. */
    static final String PATH = "/metrics";

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int OK = 200;
    private static final int INTERNAL_ERROR = 500;

    private final PrometheusRegistry registry;

    private MetricsEndpoint(PrometheusRegistry registry) {
        this.registry = registry;
    }

    static MetricsEndpoint create(PrometheusRegistry registry) {
        return new MetricsEndpoint(registry);
    }

    HttpAnswer answer() {
        ByteString.Output text = ByteString.newOutput();
        try {
            new PrometheusTextFormatWriter(false).write(text, registry.scrape());
        } catch (IOException e) {
            log.atSevere().withCause(e).log("the metrics could not be written");
            return HttpAnswer.of(INTERNAL_ERROR);
        }
        Headers headers = Headers.empty().with("Content-Type", PrometheusTextFormatWriter.CONTENT_TYPE);
        return HttpAnswer.of(OK, headers, text.toByteString());
    }
}
