package io.beryldock.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.TextNode;
import io.dropwizard.logging.common.ConsoleAppenderFactory;
import io.dropwizard.logging.common.DefaultLoggingFactory;
import io.dropwizard.logging.json.EventJsonLayoutBaseFactory;
import java.util.List;
import java.util.Map;

/**
 * Sends the process's logs to standard error, a JSON object a line.
 *
 * <p>Called once, before anything logs. A slow reader never holds up the process: lines over the queue are dropped.
 */
public final class JsonLogging {

    /** Logs an error with a stack for each answer that its caller no longer waits for: usual, and counted elsewhere. */
    private static final String HANG_UPS = "org.glassfish.jersey.server.ServerRuntime$Responder";

    private JsonLogging() {}

    /** Starts logging at the level, for example {@code INFO}. */
    public static void start(String level) {
        ConsoleAppenderFactory<ILoggingEvent> console = new ConsoleAppenderFactory<>();
        console.setTarget(ConsoleAppenderFactory.ConsoleStream.STDERR);
        console.setLayout(new EventJsonLayoutBaseFactory());
        console.setNeverBlock(true);
        DefaultLoggingFactory logging = new DefaultLoggingFactory();
        logging.setLevel(level);
        logging.setLoggers(Map.of(HANG_UPS, TextNode.valueOf("OFF")));
        logging.setAppenders(List.of(console));
        logging.configure(new MetricRegistry(), "beryldock");
    }
}
