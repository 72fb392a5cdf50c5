package io.beryldock.forwarding;

import io.beryldock.admission.DoorShedder;
import io.beryldock.call.Call;

/**
 * The two views of closed services that a node has. Immutable, thread safe.
 *
 * <p>Guards against levels that keep each other alive: were there one view, a node would report what it learned as an
 * entry as lying beneath its own target; other entries would learn that and report it in turn, so that a level of an
 * overload long past never ages. It shows as shedding at the door with idle targets. With two, what a node reports
 * beneath its target comes from that target's own inner calls only, and the calls form no circle.
 *
 * @param entry fed by answers to callers' requests; decides over them
 * @param beneath fed by answers to the inner calls of this node's target; reported with the target's answers
 */
public record Doors(DoorShedder entry, DoorShedder beneath) {

    /** The view that learns from the answer to this call. */
    DoorShedder learningFrom(Call call) {
        return call.caller().equals(Call.OUTSIDE) ? entry : beneath;
    }
}
