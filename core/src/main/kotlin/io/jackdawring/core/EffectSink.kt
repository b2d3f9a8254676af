package io.jackdawring.core

/** Receives the effects of an event in the order in which the driver must perform them. */
fun interface EffectSink {
    /** Accepts [effect]; must not call back into the [EntryInstance]. */
    fun emit(effect: Effect)
}
