package io.beryldock.http;

import jakarta.servlet.http.HttpServletRequest;
import java.util.Optional;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;

/**
 * Tells when a caller closes its connection while its request is under way.
 *
 * <p>Guards against work for callers that are gone: the server reads nothing between a request and its answer, so it
 * would see the end of the stream only after the answer. {@link HangupEndPoint} watches for it. Stateless.
 */
final class HangupDetector {

    private HangupDetector() {}

    /** Runs the task once when the connection of the request is closed by its caller. */
    static void watch(HttpServletRequest request, Runnable task) {
        endPoint(request).ifPresent(endPoint -> endPoint.watch(task));
    }

    /** The request has its answer: hang-ups no longer matter. */
    static void unwatch(HttpServletRequest request) {
        endPoint(request).ifPresent(HangupEndPoint::unwatch);
    }

    private static Optional<HangupEndPoint> endPoint(HttpServletRequest request) {
        EndPoint endPoint = ServletContextRequest.getServletContextRequest(request)
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint();
        return endPoint instanceof HangupEndPoint hangup ? Optional.of(hangup) : Optional.empty();
    }
}
