package io.beryldock.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.net.HostAndPort;
import io.beryldock.cli.OperatorClientException.Kind;
import io.beryldock.command.AccessToken;
import io.beryldock.command.JsonRenderer;
import io.beryldock.command.OperatorResponse;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.util.Optional;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;

/**
 * Sends statements to the operators' listener of one node.
 *
 * <p>Not thread safe. A statement is sent once: the library's own retries, redirects, cookies and remembered
 * authentication are off, and a connection is used once, so that no change is sent twice unseen.
 */
final class OperatorClient implements AutoCloseable {

    /** Where a node takes statements. */
    static final String PATH = "/operator/query";

    /** Header that names the operator, for the history of changes. */
    static final String OPERATOR_HEADER = "Beryldock-Operator";

    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(3);

    /** Longer than a change may take: to be written by the store, and to be in force everywhere. */
    private static final Timeout RESPONSE_TIMEOUT = Timeout.ofSeconds(60);

    private final HostAndPort node;
    private final Optional<AccessToken> token;
    private final String operator;
    private final CloseableHttpClient http;

    private OperatorClient(HostAndPort node, Optional<AccessToken> token, String operator, CloseableHttpClient http) {
        this.node = node;
        this.token = token;
        this.operator = operator;
        this.http = http;
    }

    static OperatorClient create(HostAndPort node, Optional<AccessToken> token, String operator) {
        PoolingHttpClientConnectionManager connections = PoolingHttpClientConnectionManagerBuilder.create()
                .setDefaultConnectionConfig(ConnectionConfig.custom()
                        .setConnectTimeout(CONNECT_TIMEOUT)
                        .setSocketTimeout(RESPONSE_TIMEOUT)
                        .build())
                .build();
        CloseableHttpClient http = HttpClients.custom()
                .setConnectionManager(connections)
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setResponseTimeout(RESPONSE_TIMEOUT)
                        .build())
                .setConnectionReuseStrategy((request, response, context) -> false)
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableAuthCaching()
                .build();
        return new OperatorClient(node, token, operator, http);
    }

    /** Has the node carry the statement out. */
    OperatorResponse ask(String statement) throws OperatorClientException {
        HttpPost post = new HttpPost("http://" + node + PATH);
        post.setEntity(new StringEntity(statement, ContentType.TEXT_PLAIN.withCharset("UTF-8")));
        post.setHeader(HttpHeaders.ACCEPT, ContentType.APPLICATION_JSON.getMimeType());
        post.setHeader(OPERATOR_HEADER, operator);
        token.ifPresent(shown -> post.setHeader(HttpHeaders.AUTHORIZATION, shown.authorization()));
        try {
            return http.execute(post, this::read);
        } catch (ConnectException | ConnectTimeoutException | NoRouteToHostException | UnknownHostException e) {
            throw new OperatorClientException(
                    Kind.NOT_REACHED, node + " can't be reached; is its admin listener at this address?", e);
        } catch (UnreadableResponseException e) {
            throw e.toClientException();
        } catch (IOException e) {
            throw new OperatorClientException(Kind.NO_RESPONSE, node + " gave no response: " + e.getMessage(), e);
        }
    }

    private OperatorResponse read(ClassicHttpResponse response) throws IOException {
        int status = response.getCode();
        if (status == HttpStatus.SC_UNAUTHORIZED || status == HttpStatus.SC_FORBIDDEN) {
            throw new UnreadableResponseException(
                    Kind.NO_ACCESS, node + " did not accept the token; give the one of its settings by --token-file");
        }
        try {
            String body = response.getEntity() == null ? "" : EntityUtils.toString(response.getEntity());
            return JsonRenderer.read(body);
        } catch (JsonProcessingException | ParseException e) {
            String what = node + " answered " + status + " without a response to a statement";
            if (status >= HttpStatus.SC_SERVER_ERROR) {
                throw new UnreadableResponseException(Kind.NO_RESPONSE, what);
            }
            throw new UnreadableResponseException(Kind.NOT_A_NODE, what + "; name a node's admin listener");
        }
    }

    @Override
    public void close() {
        try {
            http.close();
        } catch (IOException e) {
            throw new IllegalStateException("a client that sends no more can be closed", e);
        }
    }

    /** Carries a typed error out of the library's response handler. */
    private static final class UnreadableResponseException extends IOException {

        private static final long serialVersionUID = 1L;

        private final Kind kind;

        UnreadableResponseException(Kind kind, String message) {
            super(message);
            this.kind = kind;
        }

        OperatorClientException toClientException() {
            return new OperatorClientException(kind, getMessage());
        }
    }
}
