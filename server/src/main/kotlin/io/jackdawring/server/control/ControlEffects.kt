package io.jackdawring.server.control

import io.jackdawring.core.EffectSink
import io.jackdawring.core.Event

/** Performs effects; all methods are called on the control thread. */
internal interface ControlEffects : EffectSink {
    /** Notes [request] so that its answer finds it. */
    fun register(request: OpenRequest)

    /** Forgets what [event] ends. */
    fun beforeEvent(event: Event)
}
