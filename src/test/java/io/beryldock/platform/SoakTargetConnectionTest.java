package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpAnswer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class SoakTargetConnectionTest {

    private static final String SOUND = "HTTP/1.1 200 OK\r\nX-Beryldock-Request-Id: a\r\nContent-Length: 4\r\n\r\nbody";

    /** What the connection sends unchanged: a sound response, and one that the target itself has made wrong. */
    private static final Set<SoakDefect> MADE_BY_TARGET = EnumSet.of(SoakDefect.NONE, SoakDefect.WITHOUT_MARK);

    private final Deque<SoakExchange> exchanges = new ArrayDeque<>();
    private final Deque<SoakDefect> endless = new ArrayDeque<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(new SoakTargetConnection(exchanges::add, defect -> {
        endless.add(defect);
        return bytes -> {};
    }));

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private SoakExchange request() {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a");
        request.headers().set(PlatformHeaders.REQUEST_ID, "a");
        channel.writeInbound(request);
        return exchanges.removeLast();
    }

    private static HttpAnswer answer() {
        Headers headers = Headers.empty().with(PlatformHeaders.REQUEST_ID, "a");
        return HttpAnswer.of(200, headers, ByteString.copyFromUtf8("body"));
    }

    private String written() {
        channel.runPendingTasks();
        StringBuilder text = new StringBuilder();
        for (ByteBuf next = channel.readOutbound(); next != null; next = channel.readOutbound()) {
            text.append(next.toString(StandardCharsets.ISO_8859_1));
            next.release();
        }
        return text.toString();
    }

    @Test
    void responseWithoutDefectIsSound() {
        request().answer(answer(), SoakDefect.NONE);
        assertThat(written()).isEqualTo(SOUND);
    }

    /** Guards against a soak whose copies can't be taken for the response to the next request. */
    @Test
    void lateCopyComesBeforeTheResponseToTheNextRequest() {
        request().answer(answer(), SoakDefect.COPIED_LATE);
        assertThat(written()).isEqualTo(SOUND);
        SoakExchange next = request();
        assertThat(written()).isEqualTo(SOUND);
        next.answer(answer(), SoakDefect.NONE);
        assertThat(written()).isEqualTo(SOUND);
    }

    @Test
    void responseThatIsCutOffEndsItsConnection() {
        request().answer(answer(), SoakDefect.CUT_OFF);
        assertThat(written()).isEqualTo(SOUND.substring(0, SOUND.length() - 1));
        assertThat(channel.isActive()).isFalse();
    }

    @ParameterizedTest
    @EnumSource
    void everyDefectOfTheConnectionChangesWhatIsSent(SoakDefect defect) {
        request().answer(answer(), defect);
        boolean changed = !written().equals(SOUND) || !channel.isActive();
        assertThat(endless.contains(defect)).isEqualTo(defect.isEndless());
        if (!changed && !defect.isEndless()) {
            request();
            boolean late = !written().isEmpty();
            assertThat(late).isEqualTo(!MADE_BY_TARGET.contains(defect));
        }
    }
}
