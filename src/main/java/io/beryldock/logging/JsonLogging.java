package io.beryldock.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;
import org.slf4j.helpers.Reporter;

/**
 * Sends the process's logs to an output of the console, a JSON object a line.
 *
 * <p>Called once, before anything logs. A slow reader never holds up the process: lines over the queue are dropped. Set
 * up by logback itself: by Dropwizard's factories it took 600 of the 1,900 ms of a node's start (one run of a busy
 * machine, time between two calls of the clock).
 */
public final class JsonLogging {

    /** Logs an error with a stack for each answer that its caller no longer waits for: usual, and counted elsewhere. */
    private static final String HANG_UPS = "org.glassfish.jersey.server.ServerRuntime$Responder";

    /** Lines that wait for the console; at about 300 bytes a line this holds 300 KB at most. */
    private static final int QUEUED_LINES = 1024;

    private JsonLogging() {}

    /** Where the lines go. */
    public enum Output {
        /** For processes whose standard output is their log. */
        STANDARD_OUTPUT("System.out"),
        /** For commands whose standard output is their result. */
        STANDARD_ERROR("System.err");

        private final String target;

        Output(String target) {
            this.target = target;
        }
    }

    /** Starts logging at the level, for example {@code INFO}. */
    public static void start(String level, Output output) {
        // SLF4J reads both when the first logger is made, and would tell of the provider on the error output.
        System.setProperty(LoggerFactory.PROVIDER_PROPERTY_KEY, LogbackProvider.class.getName());
        System.setProperty(Reporter.SLF4J_INTERNAL_VERBOSITY_KEY, "WARN");
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithContext(false);
        encoder.setWithMDC(false);
        encoder.setWithMarkers(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget(output.target);
        console.setEncoder(encoder);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setNeverBlock(true);
        queue.setQueueSize(QUEUED_LINES);
        queue.addAppender(console);
        queue.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level));
        root.addAppender(queue);
        context.getLogger(HANG_UPS).setLevel(Level.OFF);
    }
}
