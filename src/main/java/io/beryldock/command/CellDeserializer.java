package io.beryldock.command;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import java.io.IOException;

/** Reads a cell from its bare JSON value, null included. Stateless, thread safe. */
final class CellDeserializer extends StdDeserializer<Cell> {

    private static final long serialVersionUID = 1L;

    CellDeserializer() {
        super(Cell.class);
    }

    @Override
    public Cell deserialize(JsonParser parser, DeserializationContext context) throws IOException {
        return switch (parser.currentToken()) {
            case VALUE_STRING -> new Cell.Text(parser.getText());
            case VALUE_NUMBER_INT -> new Cell.Whole(parser.getLongValue());
            case VALUE_NUMBER_FLOAT -> new Cell.Decimal(parser.getDoubleValue());
            default -> (Cell) context.handleUnexpectedToken(Cell.class, parser);
        };
    }

    @Override
    public Cell getNullValue(DeserializationContext context) {
        return new Cell.Empty();
    }
}
