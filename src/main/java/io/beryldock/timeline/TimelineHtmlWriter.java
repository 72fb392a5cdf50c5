package io.beryldock.timeline;

import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/**
 * Writes events as one HTML page that needs nothing beside it: lanes by data centre and node, with zoom and filters.
 *
 * <p>Stateless, thread safe.
 */
public final class TimelineHtmlWriter {

    private static final URL TEMPLATE = Resources.getResource(TimelineHtmlWriter.class, "timeline.html");
    private static final String PLACE = "/*EVENTS*/";

    private TimelineHtmlWriter() {}

    /** The page; the events must be in order. */
    public static String write(Collection<Event> events) {
        String lines = TimelineJsonWriter.write(events).strip();
        String array = "[" + lines.replace("\n", ",\n") + "]";
        return template().replace(PLACE, withoutMarkup(array));
    }

    /**
     * JSON that is safe within a script element.
     *
     * <p>Guards against a subject or detail with the text of an end tag, which would end the script element and let the
     * rest run as markup in the operator's browser. Such an escape means the same in JSON, and no tag can begin without
     * the character.
     */
    private static String withoutMarkup(String json) {
        return json.replace("<", "\\u003c");
    }

    private static String template() {
        try {
            return Resources.toString(TEMPLATE, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("the page's template is part of the program", e);
        }
    }
}
