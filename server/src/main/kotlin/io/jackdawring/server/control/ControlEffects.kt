package io.jackdawring.server.control

import io.jackdawring.core.EffectSink
import io.jackdawring.core.Event

/** Executes effects; all methods are called on the control thread. */
internal interface ControlEffects : EffectSink {
    /** Registers [request], so that its answer can be delivered. */
    fun register(request: OpenRequest)

    /** Removes the request or task attempt that [event] ends. */
    fun beforeEvent(event: Event)
}
