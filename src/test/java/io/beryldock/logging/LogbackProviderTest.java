package io.beryldock.logging;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import org.junit.jupiter.api.Test;

final class LogbackProviderTest {

    /** Story: a node that restarts in an outage is late by the time in which logback looks for a configuration. */
    @Test
    void contextIsReadyAndHasLookedForNoConfiguration() {
        LogbackProvider provider = new LogbackProvider();
        provider.initialize();
        LoggerContext context = (LoggerContext) provider.getLoggerFactory();
        assertThat(context.isStarted()).isTrue();
        assertThat(context.getStatusManager().getCopyOfStatusList()).isEmpty();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        assertThat(root.iteratorForAppenders().hasNext()).isFalse();
        assertThat(provider.getMDCAdapter()).isNotNull();
        assertThat(provider.getMarkerFactory().getMarker("m")).isNotNull();
    }
}
