package io.beryldock.forwarding;

import io.beryldock.membership.TargetState;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import java.net.InetSocketAddress;

/**
 * The state that a target reports to its own node periodically.
 *
 * <p>Immutable. Example: {@code
 * {"service":"lists","address":"127.0.0.1:9101","slots":50,"state":"READY","start":"lists-1-1785555212156"}}.
 *
 * @param start identifies the start of the target's process; empty if the target does not announce it
 */
public record Announcement(
        @NotNull @Pattern(regexp = "[A-Za-z0-9._-]{1,100}", message = "has 1 to 100 letters or digits")
        String service,

        @NotNull @Pattern(regexp = "[0-9.]+:[0-9]{1,5}", message = "is IP:PORT")
        String address,

        @Min(1) int slots,
        @NotNull TargetState state,

        @Pattern(regexp = "[A-Za-z0-9._@-]{0,100}", message = "has at most 100 letters or digits")
        String start) {

    public Announcement {
        start = start == null ? "" : start;
    }

    /** Creates the announcement of a target that does not identify its starts. */
    public Announcement(String service, String address, int slots, TargetState state) {
        this(service, address, slots, state, "");
    }

    /** Returns this announcement for the given start. */
    public Announcement withStart(String identified) {
        return new Announcement(service, address, slots, state, identified);
    }

    public InetSocketAddress socketAddress() {
        return Addresses.parse(address);
    }

    // Written by hand: the C1 compiler of the nodes does not inline a record's generated equals, an invokedynamic call.
    @Override
    public boolean equals(Object other) {
        return other instanceof Announcement that
                && service.equals(that.service)
                && address.equals(that.address)
                && slots == that.slots
                && state == that.state
                && start.equals(that.start);
    }

    @Override
    public int hashCode() {
        return 31 * service.hashCode() + address.hashCode();
    }
}
