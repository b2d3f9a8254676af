package io.jackdawring.server.control

import io.jackdawring.core.Event
import io.jackdawring.core.InstanceSnapshot

/** Work that other threads queue for the control thread. */
internal sealed interface ControlItem {
    /** Applies an event. */
    class Apply(
        val event: Event,
    ) : ControlItem

    /** Applies an event whose answer goes to [request]. */
    class ApplyRequest(
        val event: Event,
        val request: OpenRequest,
    ) : ControlItem

    /** Passes the current state to [onSnapshot] on the control thread. */
    class Inspect(
        val onSnapshot: (InstanceSnapshot) -> Unit,
    ) : ControlItem
}
