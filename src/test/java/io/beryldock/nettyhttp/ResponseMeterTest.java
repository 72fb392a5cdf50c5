package io.beryldock.nettyhttp;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class ResponseMeterTest {

    private static final int MAX_BODY = 1000;

    private final ResponseMeter meter = new ResponseMeter(MAX_BODY);

    @Test
    void largestBodyIsWithinTheBounds() {
        meter.onReceived(MAX_BODY + 200);
        meter.onBody(MAX_BODY);
        assertThat(meter.contentViolation()).isEmpty();
        assertThat(meter.framingViolation(0)).isEmpty();
        meter.onBody(1);
        assertThat(meter.contentViolation()).isPresent();
    }

    /** Guards against the loss of an answer because the late copy of another large one precedes it. */
    @Test
    void skippedContentDoesNotCountAsBody() {
        meter.onSkippedContent(MAX_BODY);
        meter.onBody(MAX_BODY);
        assertThat(meter.contentViolation()).isEmpty();
        meter.onSkippedContent(1);
        assertThat(meter.contentViolation()).isPresent();
    }

    @Test
    void skippedResponsesAreBounded() {
        for (int i = 0; i < ResponseMeter.MAX_SKIPPED_RESPONSES; i++) {
            meter.onSkippedResponse();
        }
        assertThat(meter.contentViolation()).isEmpty();
        meter.onSkippedResponse();
        assertThat(meter.contentViolation()).isPresent();
    }

    @Test
    void framingIsBoundedInProportionToTheContent() {
        int content = 100;
        meter.onBody(content);
        meter.onReceived(2 * content + ResponseMeter.MAX_FRAMING_BYTES);
        assertThat(meter.framingViolation(0)).isEmpty();
        meter.onReceived(1);
        assertThat(meter.framingViolation(0)).isPresent();
    }

    @Test
    void undecodedBytesAreNotFraming() {
        meter.onReceived(ResponseMeter.MAX_FRAMING_BYTES + 1);
        assertThat(meter.framingViolation(1)).isEmpty();
    }
}
