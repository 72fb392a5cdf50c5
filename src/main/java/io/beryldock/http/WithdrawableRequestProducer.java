package io.beryldock.http;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Writes a request unless it may not be sent any more once a connection is available.
 *
 * <p>Invariant: a withdrawn request fails with {@link WithdrawnRequestException}, with no byte written. Used by one I/O
 * thread, for one request.
 */
final class WithdrawableRequestProducer implements AsyncRequestProducer {

    private final AsyncRequestProducer producer;
    private final BooleanSupplier sendable;

    WithdrawableRequestProducer(AsyncRequestProducer producer, BooleanSupplier sendable) {
        this.producer = producer;
        this.sendable = sendable;
    }

    @Override
    public void sendRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        if (!sendable.getAsBoolean()) {
            throw new WithdrawnRequestException();
        }
        producer.sendRequest(channel, context);
    }

    @Override
    public boolean isRepeatable() {
        return producer.isRepeatable();
    }

    @Override
    public void failed(Exception cause) {
        producer.failed(cause);
    }

    @Override
    public int available() {
        return producer.available();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        producer.produce(channel);
    }

    @Override
    public void releaseResources() {
        producer.releaseResources();
    }
}
