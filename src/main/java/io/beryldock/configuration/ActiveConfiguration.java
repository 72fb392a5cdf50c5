package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.beryldock.time.TimerService.Subscription;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the configuration in force at this node and the most recent changes that led to it.
 *
 * <p>Invariants, checked at run time: the version only increases; each version is created by exactly one change.
 * Confined to the control thread, except {@link #current()} and {@link #changes()}, which any thread may call.
 */
public final class ActiveConfiguration {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Accepts higher versions only; a version in force is never followed by a lower one. */
    static final VersionRule HIGHER_ONLY = (current, next) -> next > current;

    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private final EventSink events;
    private final VersionRule rule;
    private volatile Configuration current;
    private volatile ChangeLog changes = ChangeLog.empty();

    private ActiveConfiguration(Configuration defaults, EventSink events, VersionRule rule) {
        this.current = defaults;
        this.events = events;
        this.rule = rule;
    }

    /** Creates an instance with the defaults in force. */
    public static ActiveConfiguration create(Configuration defaults, EventSink events) {
        return create(defaults, events, HIGHER_ONLY);
    }

    public static ActiveConfiguration create(Configuration defaults) {
        return create(defaults, EventSink.none());
    }

    static ActiveConfiguration create(Configuration defaults, EventSink events, VersionRule rule) {
        return new ActiveConfiguration(defaults, events, rule);
    }

    /** Decides which version may replace which. */
    @FunctionalInterface
    interface VersionRule {
        boolean mayReplace(long current, long next);
    }

    public Configuration current() {
        return current;
    }

    /** Returns the most recent changes that this node knows, oldest first. */
    public ImmutableList<ChangeRecord> changes() {
        return changes.records();
    }

    ChangeLog changeLog() {
        return changes;
    }

    /** Registers a listener that is called on the control thread with each configuration put in force from now on. */
    public Subscription onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    /**
     * Puts a full configuration in force if its version is higher; returns whether it did.
     *
     * @param recent the most recent changes up to its version, as far as they are known
     */
    boolean adopt(Configuration next, List<ChangeRecord> recent) {
        checkOneChangePerVersion(next.lineage(), recent);
        if (!rule.mayReplace(current.version(), next.version())) {
            return false;
        }
        boolean extendsLog = !recent.isEmpty() && next.lineage().equals(current.lineage());
        changes = (extendsLog ? changes : ChangeLog.empty()).plus(recent);
        putInForce(next);
        return true;
    }

    /** Applies the changes that directly follow the version in force; returns whether the version increased. */
    boolean apply(String lineage, List<ChangeRecord> records) {
        if (!lineage.equals(current.lineage())) {
            return false;
        }
        checkOneChangePerVersion(lineage, records);
        ImmutableList<ChangeRecord> next = contiguousAfter(current.version(), records);
        if (next.isEmpty()) {
            return false;
        }
        changes = changes.plus(next);
        putInForce(current.after(next));
        return true;
    }

    /** Returns the records, in order of their versions, that follow the version without a gap. */
    static ImmutableList<ChangeRecord> contiguousAfter(long version, List<ChangeRecord> records) {
        ImmutableList.Builder<ChangeRecord> following = ImmutableList.builder();
        long last = version;
        for (ChangeRecord record : records) {
            if (record.version() == last + 1) {
                following.add(record);
                last++;
            }
        }
        return following.build();
    }

    private void putInForce(Configuration next) {
        if (next.version() <= current.version()) {
            throw new IllegalStateException("configuration must not go back from " + current + " to " + next);
        }
        current = next;
        events.record(EventKind.CONFIGURATION_APPLIED, "version " + next.version(), lastChange());
        listeners.forEach(listener -> notify(listener, next));
    }

    /** Notifies one listener. The others must hear of the version even if this one fails. */
    private static void notify(Consumer<Configuration> listener, Configuration next) {
        try {
            listener.accept(next);
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log(
                    "a part of this node failed to take over version %d; restart the node if requests still follow an"
                            + " older version",
                    next.version());
        }
    }

    private String lastChange() {
        ImmutableList<ChangeRecord> records = changes.records();
        if (records.isEmpty()) {
            return "taken whole";
        }
        ChangeRecord last = records.get(records.size() - 1);
        return last.statement() + " by " + last.operator();
    }

    /**
     * Checks that no version is created by two different changes, which would leave nodes with different documents
     * permanently: the nodes would agree on the version but not on a setting. The order in the store rules this out as
     * long as every version is created by a compare-and-set of the head.
     */
    private void checkOneChangePerVersion(String lineage, List<ChangeRecord> records) {
        if (!lineage.equals(current.lineage())) {
            return;
        }
        for (ChangeRecord record : records) {
            Optional<ChangeRecord> known = Optional.ofNullable(changes.at(record.version()));
            if (known.isPresent() && !known.get().changeId().equals(record.changeId())) {
                String detail = "version " + record.version() + " is change " + record.changeId() + " and "
                        + known.get().changeId();
                events.record(EventKind.INVARIANT_BROKEN, "configuration", detail);
                log.atSevere().log("two different changes created the same configuration version: %s", detail);
                throw new IllegalStateException(detail);
            }
        }
    }
}
