package io.beryldock.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.client5.http.async.methods.AbstractBinResponseConsumer;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Collects a response with a body up to a bound, after a bounded number of interim responses.
 *
 * <p>Invariant: a larger response fails the exchange, which closes its connection. Used by one I/O thread, for one
 * response.
 */
final class BoundedResponseConsumer extends AbstractBinResponseConsumer<SimpleHttpResponse> {

    static final int MAX_INTERIM_RESPONSES = 16;

    private final int maxBodyBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private SimpleHttpResponse response;
    private ContentType contentType;
    private int interimResponses;

    BoundedResponseConsumer(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void informationResponse(HttpResponse interim, HttpContext context) throws HttpException, IOException {
        interimResponses++;
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            throw new ProtocolException("over %d interim responses precede the response", MAX_INTERIM_RESPONSES);
        }
    }

    @Override
    protected void start(HttpResponse head, ContentType type) {
        response = SimpleHttpResponse.copy(head);
        contentType = type;
    }

    @Override
    protected int capacityIncrement() {
        return Integer.MAX_VALUE;
    }

    @Override
    protected void data(ByteBuffer source, boolean endOfStream) throws IOException {
        if (body.size() + source.remaining() > maxBodyBytes) {
            throw new IOException("the response is larger than " + maxBodyBytes + " bytes; raise callers.maxBodyBytes");
        }
        byte[] bytes = new byte[source.remaining()];
        source.get(bytes);
        body.write(bytes);
    }

    @Override
    protected SimpleHttpResponse buildResult() {
        if (body.size() > 0) {
            response.setBody(body.toByteArray(), contentType);
        }
        return response;
    }

    @Override
    public void releaseResources() {
        body.reset();
    }
}
