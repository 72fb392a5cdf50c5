package io.beryldock.configuration;

import com.google.common.collect.ImmutableSet;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * Identifies one setting of the configuration, or one field of it; for example {@code deadline of route /orders POST}.
 *
 * <p>Immutable. Two changes conflict if their keys overlap: both keys identify the same setting, and either the same
 * field or, at least one of them, the whole setting.
 *
 * @param name identifies the setting among those of its kind
 * @param field the field of the setting, empty for the whole setting
 */
public record SettingKey(Kind kind, String name, String field) implements Comparable<SettingKey> {

    /** Kind of a setting. */
    public enum Kind {
        ROUTE,
        CLASS,
        BUDGET,
        SERVICE,
        DRAIN,
        /** A setting that a later release wrote; it is kept unchanged. */
        OPAQUE
    }

    public SettingKey {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(field, "field");
    }

    static SettingKey route(String prefix, ImmutableSet<String> methods) {
        String suffix = methods.isEmpty() ? "" : " " + methods.stream().sorted().collect(Collectors.joining(","));
        return new SettingKey(Kind.ROUTE, prefix + suffix, "");
    }

    static SettingKey priorityClass(String name) {
        return new SettingKey(Kind.CLASS, name, "");
    }

    public static SettingKey budget(String name) {
        return new SettingKey(Kind.BUDGET, name, "");
    }

    static SettingKey service(ServiceName name) {
        return new SettingKey(Kind.SERVICE, name.value(), "");
    }

    static SettingKey drain(NodeId node) {
        return new SettingKey(Kind.DRAIN, node.value(), "");
    }

    /** Returns the key of a field of this setting. */
    SettingKey field(String part) {
        return new SettingKey(kind, name, part);
    }

    /** Returns the key of the whole setting. */
    SettingKey whole() {
        return field.isEmpty() ? this : new SettingKey(kind, name, "");
    }

    /** Whether a change of one setting can overwrite a change of the other. */
    public boolean overlaps(SettingKey other) {
        if (kind != other.kind || !name.equals(other.name)) {
            return false;
        }
        return field.isEmpty() || other.field.isEmpty() || field.equals(other.field);
    }

    @Override
    public int compareTo(SettingKey other) {
        int byKind = kind.compareTo(other.kind);
        if (byKind != 0) {
            return byKind;
        }
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : field.compareTo(other.field);
    }

    @Override
    public String toString() {
        String whole = kind.name().toLowerCase(Locale.ROOT) + " " + name;
        return field.isEmpty() ? whole : field + " of " + whole;
    }
}
