package io.beryldock.timeline;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Collection;

/** Writes events as JSON lines: one object per line, without empty fields. Stateless, thread safe. */
public final class TimelineJsonWriter {

    private static final JsonFactory JSON = new JsonFactory();

    private TimelineJsonWriter() {}

    public static String write(Collection<Event> events) {
        StringBuilder lines = new StringBuilder();
        events.forEach(event -> lines.append(object(event)).append('\n'));
        return lines.toString();
    }

    private static String object(Event event) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("time", event.time().toString());
            json.writeNumberField("millis", event.time().millis());
            json.writeStringField("dataCentre", event.dataCentre().value());
            json.writeStringField("node", event.node().value());
            json.writeStringField("kind", event.kind().name());
            json.writeStringField("subject", event.subject());
            writeUnlessEmpty(
                    json, "request", event.request().map(Object::toString).orElse(""));
            json.writeNumberField("count", event.count());
            writeUnlessEmpty(json, "detail", event.detail());
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("unexpected I/O error while writing JSON to memory", e);
        }
        return text.toString();
    }

    private static void writeUnlessEmpty(JsonGenerator json, String name, String value) throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(name, value);
        }
    }
}
