package io.beryldock.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

/** An operators' listener that answers as a test says, and keeps the statements that reached it. */
final class OperatorEndpointStub implements AutoCloseable {

    final List<String> statements = new CopyOnWriteArrayList<>();
    final List<String> authorizations = new CopyOnWriteArrayList<>();
    private final HttpServer server;

    private OperatorEndpointStub(HttpServer server) {
        this.server = server;
    }

    /** An answer; a status of 0 cuts the connection instead. */
    record Reply(int status, String body) {}

    static OperatorEndpointStub start(Function<String, Reply> answers) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        OperatorEndpointStub stub = new OperatorEndpointStub(server);
        server.createContext(OperatorClient.PATH, exchange -> stub.handle(exchange, answers));
        server.start();
        return stub;
    }

    private void handle(HttpExchange exchange, Function<String, Reply> answers) throws IOException {
        String statement = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        statements.add(statement);
        authorizations.add(String.valueOf(exchange.getRequestHeaders().getFirst("Authorization")));
        Reply reply = answers.apply(statement);
        if (reply.status() == 0) {
            exchange.close();
            throw new IOException("cut");
        }
        byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(reply.status(), body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
