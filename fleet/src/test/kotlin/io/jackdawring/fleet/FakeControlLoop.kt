package io.jackdawring.fleet

import io.jackdawring.testing.VirtualClock

/** A control loop on virtual time. */
internal class FakeControlLoop : ControlLoop {
    val clock = VirtualClock()

    override fun nowMillis(): Long = clock.nowMillis

    override fun execute(action: () -> Unit) = clock.schedule(0, action)

    override fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ) = clock.schedule(delayMillis, action)
}
