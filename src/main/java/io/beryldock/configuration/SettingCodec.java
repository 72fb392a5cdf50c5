package io.beryldock.configuration;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.call.NodeId;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceName;
import io.beryldock.wire.ConfigurationBudget;
import io.beryldock.wire.ConfigurationClass;
import io.beryldock.wire.ConfigurationEntry;
import io.beryldock.wire.ConfigurationKey;
import io.beryldock.wire.ConfigurationRoute;
import io.beryldock.wire.ConfigurationService;
import java.time.Duration;
import java.util.Optional;

/**
 * Encodes and decodes settings for the store and the wire. Stateless, thread safe.
 *
 * <p>A kind or value that this release cannot read is kept as an {@link OpaqueSetting}: during an upgrade, nodes of two
 * releases hold the same document, and an older node that dropped or rejected a setting would undo an accepted change.
 */
final class SettingCodec {

    private static final int ROUTE = 1;
    private static final int CLASS = 2;
    private static final int BUDGET = 3;
    private static final int SERVICE = 4;
    private static final int DRAIN = 5;

    private SettingCodec() {}

    static ConfigurationEntry entry(Setting setting) {
        ConfigurationEntry.Builder entry = ConfigurationEntry.newBuilder().setKey(key(setting.key()));
        return entry.setValue(value(setting)).build();
    }

    static ConfigurationEntry entry(SettingEdit edit) {
        return edit.setting()
                .map(SettingCodec::entry)
                .orElseGet(() ->
                        ConfigurationEntry.newBuilder().setKey(key(edit.key())).build());
    }

    private static ConfigurationKey key(SettingKey key) {
        ConfigurationKey.Builder out = ConfigurationKey.newBuilder().setField(key.field());
        if (key.kind() != SettingKey.Kind.OPAQUE) {
            return out.setKind(number(key.kind())).setName(key.name()).build();
        }
        int colon = key.name().indexOf(':');
        int kind = Integer.parseInt(key.name().substring(0, colon));
        return out.setKind(kind).setName(key.name().substring(colon + 1)).build();
    }

    private static int number(SettingKey.Kind kind) {
        return switch (kind) {
            case ROUTE -> ROUTE;
            case CLASS -> CLASS;
            case BUDGET -> BUDGET;
            case SERVICE -> SERVICE;
            case DRAIN -> DRAIN;
            case OPAQUE -> 0;
        };
    }

    private static ByteString value(Setting setting) {
        if (setting instanceof Route route) {
            return route(route).toByteString();
        }
        if (setting instanceof ClassSetting rank) {
            int number = rank.priority().rank();
            return ConfigurationClass.newBuilder().setRank(number).build().toByteString();
        }
        if (setting instanceof RetrySetting budget) {
            return ConfigurationBudget.newBuilder()
                    .setRetries(budget.retries())
                    .setShare(budget.share())
                    .build()
                    .toByteString();
        }
        if (setting instanceof ServiceSetting service) {
            return ConfigurationService.newBuilder()
                    .setSlots(service.slots())
                    .build()
                    .toByteString();
        }
        return setting instanceof OpaqueSetting opaque ? opaque.content() : ByteString.EMPTY;
    }

    private static ConfigurationRoute route(Route route) {
        return ConfigurationRoute.newBuilder()
                .setPrefix(route.prefix())
                .addAllMethods(route.methods().stream().sorted().toList())
                .setService(route.service().value())
                .setPriorityClass(route.priorityClass())
                .setIdempotent(route.idempotent())
                .setDeadlineMillis(route.deadline().toMillis())
                .setBudget(route.budget())
                .build();
    }

    static SettingEdit edit(ConfigurationEntry entry) {
        if (entry.hasValue()) {
            return SettingEdit.put(setting(entry));
        }
        return new SettingEdit(removedKey(entry.getKey()), Optional.empty());
    }

    private static SettingKey removedKey(ConfigurationKey key) {
        return switch (key.getKind()) {
            case ROUTE -> new SettingKey(SettingKey.Kind.ROUTE, key.getName(), "");
            case CLASS -> new SettingKey(SettingKey.Kind.CLASS, key.getName(), "");
            case BUDGET -> new SettingKey(SettingKey.Kind.BUDGET, key.getName(), "");
            case SERVICE -> new SettingKey(SettingKey.Kind.SERVICE, key.getName(), "");
            case DRAIN -> new SettingKey(SettingKey.Kind.DRAIN, key.getName(), "");
            default -> opaque(key, ByteString.EMPTY).key();
        };
    }

    static Setting setting(ConfigurationEntry entry) {
        try {
            return known(entry.getKey(), entry.getValue());
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return opaque(entry.getKey(), entry.getValue());
        }
    }

    private static OpaqueSetting opaque(ConfigurationKey key, ByteString value) {
        return new OpaqueSetting(key.getKind(), key.getName(), value);
    }

    private static Setting known(ConfigurationKey key, ByteString value) throws InvalidProtocolBufferException {
        return switch (key.getKind()) {
            case ROUTE -> route(ConfigurationRoute.parseFrom(value));
            case CLASS ->
                new ClassSetting(PriorityClass.of(
                        key.getName(), ConfigurationClass.parseFrom(value).getRank()));
            case BUDGET -> {
                ConfigurationBudget budget = ConfigurationBudget.parseFrom(value);
                yield new RetrySetting(key.getName(), budget.getRetries(), budget.getShare());
            }
            case SERVICE ->
                new ServiceSetting(
                        ServiceName.of(key.getName()),
                        ConfigurationService.parseFrom(value).getSlots());
            case DRAIN -> new DrainSetting(NodeId.of(key.getName()));
            default -> opaque(key, value);
        };
    }

    private static Route route(ConfigurationRoute route) {
        return new Route(
                route.getPrefix(),
                ImmutableSet.copyOf(route.getMethodsList()),
                ServiceName.of(route.getService()),
                route.getPriorityClass(),
                route.getIdempotent(),
                Duration.ofMillis(route.getDeadlineMillis()),
                route.getBudget());
    }
}
