package io.beryldock.call;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** HTTP header fields in order. Names are case-insensitive and may occur several times. Immutable. */
public final class Headers {

    private static final Headers EMPTY = new Headers(ImmutableList.of());

    private final ImmutableList<Header> list;

    private Headers(ImmutableList<Header> list) {
        this.list = list;
    }

    /** One header field. */
    public record Header(String name, String value) {}

    public static Headers empty() {
        return EMPTY;
    }

    public static Headers of(List<Header> list) {
        return list.isEmpty() ? EMPTY : new Headers(ImmutableList.copyOf(list));
    }

    public ImmutableList<Header> list() {
        return list;
    }

    /** Returns the first value of the named field. */
    public Optional<String> first(String name) {
        for (Header header : list) {
            if (header.name().equalsIgnoreCase(name)) {
                return Optional.of(header.value());
            }
        }
        return Optional.empty();
    }

    /** Returns all values of the named field, in order. */
    public ImmutableList<String> all(String name) {
        ImmutableList.Builder<String> found = ImmutableList.builderWithExpectedSize(1);
        for (Header header : list) {
            if (header.name().equalsIgnoreCase(name)) {
                found.add(header.value());
            }
        }
        return found.build();
    }

    /** Returns a copy in which this field replaces all fields of its name. */
    public Headers with(String name, String value) {
        ImmutableList.Builder<Header> copy = ImmutableList.builderWithExpectedSize(list.size() + 1);
        for (Header header : list) {
            if (!header.name().equalsIgnoreCase(name)) {
                copy.add(header);
            }
        }
        return new Headers(copy.add(new Header(name, value)).build());
    }

    /** Returns a copy without the fields whose name matches the predicate. */
    public Headers without(Predicate<String> dropped) {
        ImmutableList.Builder<Header> kept = ImmutableList.builderWithExpectedSize(list.size());
        for (Header header : list) {
            if (!dropped.test(header.name())) {
                kept.add(header);
            }
        }
        return of(kept.build());
    }
}
