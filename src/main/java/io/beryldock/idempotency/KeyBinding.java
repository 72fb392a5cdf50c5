package io.beryldock.idempotency;

import java.util.Comparator;
import java.util.Optional;

/** A caller's key and the ticket that it is bound to; a closed key has no ticket. Immutable. */
record KeyBinding(CallerKey key, KeyScope scope, Optional<TicketId> ticket) {

    static final Comparator<KeyBinding> BY_KEY = Comparator.<KeyBinding>comparingLong(
                    binding -> binding.key().high())
            .thenComparingLong(binding -> binding.key().low());

    /** Result of this binding for a request with the given scope. */
    BindResult resultFor(KeyScope requested) {
        if (!scope.equals(requested)) {
            return new BindResult.InUse();
        }
        return ticket.<BindResult>map(BindResult.Bound::new).orElseGet(BindResult.Closed::new);
    }
}
