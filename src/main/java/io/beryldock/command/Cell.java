package io.beryldock.command;

import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import java.util.Objects;

/** One value of a table. Every kind is immutable; in JSON it is the bare value. */
@JsonDeserialize(using = CellDeserializer.class)
public sealed interface Cell {

    /** The bare value: a {@link String}, {@link Long}, {@link Double} or null. */
    @JsonValue
    Object value();

    /** Words, or a time in its text form. */
    record Text(String text) implements Cell {
        public Text {
            Objects.requireNonNull(text, "text");
        }

        @Override
        public Object value() {
            return text;
        }
    }

    /** A whole number. */
    record Whole(long number) implements Cell {
        @Override
        public Object value() {
            return number;
        }
    }

    /** A number with a fraction. */
    record Decimal(double number) implements Cell {
        @Override
        public Object value() {
            return number;
        }
    }

    /** Nothing is known. */
    record Empty() implements Cell {
        @Override
        public Object value() {
            return null;
        }
    }

    /** The cell of a bare value; throws {@link IllegalArgumentException} for a value of another type. */
    static Cell of(Object value) {
        if (value == null) {
            return new Empty();
        }
        if (value instanceof String text) {
            return new Text(text);
        }
        if (value instanceof Long || value instanceof Integer) {
            return new Whole(((Number) value).longValue());
        }
        if (value instanceof Double || value instanceof Float) {
            return new Decimal(((Number) value).doubleValue());
        }
        throw new IllegalArgumentException("no cell holds a " + value.getClass().getName());
    }
}
