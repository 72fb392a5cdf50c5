package io.beryldock.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import com.codahale.metrics.MetricRegistry;
import io.dropwizard.logging.common.ConsoleAppenderFactory;
import io.dropwizard.logging.common.DefaultLoggingFactory;
import io.dropwizard.logging.json.EventJsonLayoutBaseFactory;
import java.util.List;

/**
 * Sends the process's logs to standard error, a JSON object a line.
 *
 * <p>Called once, before anything logs. A slow reader never holds up the process: lines over the queue are dropped.
 */
public final class JsonLogging {

    private JsonLogging() {}

    /** Starts logging at the level, for example {@code INFO}. */
    public static void start(String level) {
        ConsoleAppenderFactory<ILoggingEvent> console = new ConsoleAppenderFactory<>();
        console.setTarget(ConsoleAppenderFactory.ConsoleStream.STDERR);
        console.setLayout(new EventJsonLayoutBaseFactory());
        console.setNeverBlock(true);
        DefaultLoggingFactory logging = new DefaultLoggingFactory();
        logging.setLevel(level);
        logging.setAppenders(List.of(console));
        logging.configure(new MetricRegistry(), "beryldock");
    }
}
