package io.beryldock.timeline;

import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/**
 * Writes events as a self-contained HTML page: lanes by data centre and node, with zoom and filters.
 *
 * <p>Stateless, thread safe.
 */
public final class TimelineHtmlWriter {

    private static final URL TEMPLATE = Resources.getResource(TimelineHtmlWriter.class, "timeline.html");
    private static final String PLACEHOLDER = "/*EVENTS*/";

    private TimelineHtmlWriter() {}

    /** Returns the page; the events must be in causal order. */
    public static String write(Collection<Event> events) {
        String jsonLines = TimelineJsonWriter.write(events).strip();
        String array = "[" + jsonLines.replace("\n", ",\n") + "]";
        return template().replace(PLACEHOLDER, escapeMarkup(array));
    }

    /**
     * Escapes JSON so that it is safe within a script element.
     *
     * <p>Guards against a subject or detail that contains an end tag, which would end the script element and let the
     * operator's browser interpret the rest as markup. The escape has the same meaning in JSON, and no tag can start
     * without the escaped character.
     */
    private static String escapeMarkup(String json) {
        return json.replace("<", "\\u003c");
    }

    private static String template() {
        try {
            return Resources.toString(TEMPLATE, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("the template of the timeline page can't be read", e);
        }
    }
}
