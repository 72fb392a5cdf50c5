package io.beryldock.http;

import jakarta.servlet.http.HttpServletRequest;
import java.util.Optional;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;

/**
 * Detects that a caller closes its connection while its request is being processed.
 *
 * <p>Guards against work for disconnected callers: Jetty does not read from a connection between a request and its
 * response, so without {@link HangupEndPoint} the server would see the end of the stream only after the response.
 * Stateless.
 */
final class HangupDetector {

    private HangupDetector() {}

    /** Runs the task once if the caller closes the connection of the request before {@link #unwatch}. */
    static void watch(HttpServletRequest request, Runnable task) {
        endPoint(request).ifPresent(endPoint -> endPoint.watch(task));
    }

    /** Stops watching the connection of the request, once the result of the request is known. */
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
