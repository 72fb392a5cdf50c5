package io.beryldock.command;

import java.util.Optional;
import org.antlr.v4.runtime.ParserRuleContext;

/** An option of a statement that may stand once. Not thread safe. */
final class SingleOption<T> {

    private final String name;
    private Optional<T> value = Optional.empty();

    private SingleOption(String name) {
        this.name = name;
    }

    static <T> SingleOption<T> named(String name) {
        return new SingleOption<>(name);
    }

    void set(ParserRuleContext place, T newValue) throws StatementException {
        if (value.isPresent()) {
            throw StatementBuilder.error(place, "'" + name + "' stands twice");
        }
        value = Optional.of(newValue);
    }

    Optional<T> value() {
        return value;
    }

    boolean isSet() {
        return value.isPresent();
    }
}
