package io.beryldock.idempotency;

import java.util.Comparator;
import java.util.Optional;

/** A caller's key and the ticket that it stands for, none when the key is closed. Immutable. */
record KeyBinding(CallerKey key, KeyScope scope, Optional<TicketId> ticket) {

    static final Comparator<KeyBinding> BY_KEY = Comparator.<KeyBinding>comparingLong(
                    binding -> binding.key().high())
            .thenComparingLong(binding -> binding.key().low());

    /** What this binding says to a request of the scope. */
    BindResult resultFor(KeyScope asked) {
        if (!scope.equals(asked)) {
            return new BindResult.InUse();
        }
        return ticket.<BindResult>map(BindResult.Bound::new).orElseGet(BindResult.Closed::new);
    }
}
