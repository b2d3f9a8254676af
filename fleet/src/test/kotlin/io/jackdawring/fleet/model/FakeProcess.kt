package io.jackdawring.fleet.model

import io.jackdawring.fleet.ControlLoop
import io.jackdawring.testing.VirtualClock

/** Control loop of one process on a shared [clock]; it can be frozen, which delays what is due, and killed. */
internal class FakeProcess(
    private val clock: VirtualClock,
) : ControlLoop {
    var alive = true
        private set
    var frozen = false
        private set

    /** Duration of pauses that the monotonic clock did not count. */
    private var uncountedMillis = 0L
    private val timersDue = ArrayDeque<() -> Unit>()
    private val messagesDue = ArrayDeque<() -> Unit>()

    override fun nowMillis(): Long = clock.nowMillis - uncountedMillis

    override fun execute(action: () -> Unit) = schedule(0, action)

    override fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ) = startTimer(nowMillis() + delayMillis.coerceAtLeast(0), action)

    private fun startTimer(
        dueMillis: Long,
        action: () -> Unit,
    ) {
        clock.schedule(dueMillis - nowMillis()) {
            run(timersDue) { if (nowMillis() >= dueMillis) action() else startTimer(dueMillis, action) }
        }
    }

    /** Processes a message that arrives now. */
    fun receive(action: () -> Unit) = run(messagesDue, action)

    private fun run(
        backlog: ArrayDeque<() -> Unit>,
        action: () -> Unit,
    ) = when {
        !alive -> Unit
        frozen -> backlog.addLast(action)
        else -> action()
    }

    fun kill() {
        alive = false
    }

    /** Freezes the process; afterwards, what is due runs in the order of [messagesFirst]. */
    fun freeze(
        millis: Long,
        clockCounts: Boolean,
        messagesFirst: Boolean,
    ) {
        frozen = true
        clock.schedule(millis) {
            frozen = false
            if (!clockCounts) uncountedMillis += millis
            val backlogs = listOf(messagesDue, timersDue)
            for (backlog in if (messagesFirst) backlogs else backlogs.reversed()) {
                val due = backlog.toList()
                backlog.clear()
                due.forEach { run(backlog, it) }
            }
        }
    }
}
