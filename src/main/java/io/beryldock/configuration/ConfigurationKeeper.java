package io.beryldock.configuration;

import io.beryldock.time.TimerService.Subscription;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the configuration in force at this node.
 *
 * <p>Invariant: the version only rises. Called on the control thread only, but for {@link #current()}, which any thread
 * may call.
 */
public final class ConfigurationKeeper {

    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration current;

    private ConfigurationKeeper(Configuration defaults) {
        this.current = defaults;
    }

    /** Starts with the defaults in force. */
    public static ConfigurationKeeper create(Configuration defaults) {
        return new ConfigurationKeeper(defaults);
    }

    public Configuration current() {
        return current;
    }

    /** Puts the configuration in force if its version is higher; tells whether it did. */
    @SuppressWarnings("NonAtomicVolatileUpdate")
    boolean take(Configuration next) {
        if (next.version() <= current.version()) {
            return false;
        }
        current = next;
        listeners.forEach(listener -> listener.accept(next));
        return true;
    }

    /** Calls the listener, on the control thread, with each configuration put in force from now on. */
    public Subscription onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }
}
