package io.beryldock.call;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** HTTP header fields in their order; names compare without case, a name may stand several times. Immutable. */
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

    /** First value of the name. */
    public Optional<String> first(String name) {
        for (Header header : list) {
            if (header.name().equalsIgnoreCase(name)) {
                return Optional.of(header.value());
            }
        }
        return Optional.empty();
    }

    /** Every value of the name, in order. */
    public ImmutableList<String> all(String name) {
        return list.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(Header::value)
                .collect(ImmutableList.toImmutableList());
    }

    /** The same fields with this one in place of any of its name. */
    public Headers with(String name, String value) {
        List<Header> copy = new ArrayList<>(without(header -> header.equalsIgnoreCase(name)).list);
        copy.add(new Header(name, value));
        return of(copy);
    }

    /** The same fields without those whose name fits the predicate. */
    public Headers without(Predicate<String> dropped) {
        return of(
                list.stream().filter(header -> !dropped.test(header.name())).collect(ImmutableList.toImmutableList()));
    }
}
