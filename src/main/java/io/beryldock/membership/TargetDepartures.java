package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Remembers across restarts of this node which starts of its target have announced that they leave.
 *
 * <p>Used on the control thread, on which futures complete and readers are called.
 */
public interface TargetDepartures {

    /**
     * Records a departure. Once the future has completed, a process of this node that starts later finds it; until then
     * the departure must not be confirmed to the target.
     */
    CompletableFuture<Void> add(DepartedStart start);

    /** Passes the departures that earlier processes of this node have recorded, if and once they could be read. */
    void readEarlier(Consumer<ImmutableList<DepartedStart>> reader);
}
