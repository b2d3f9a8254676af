package io.jackdawring.testing

import java.util.PriorityQueue

/** Runs scheduled actions in the order of their virtual times in milliseconds; ties run in the order of scheduling. */
class VirtualClock {
    private val actions = PriorityQueue<ScheduledAction>(compareBy({ it.atMillis }, { it.sequence }))
    private var lastSequence = 0L

    var nowMillis: Long = 0
        private set

    /** Runs [action] after [delayMillis]. */
    fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        actions.add(ScheduledAction(nowMillis + delayMillis.coerceAtLeast(0), ++lastSequence, action))
    }

    /** Advances the time by [millis] and runs everything that is due by then. */
    fun advance(millis: Long) {
        val untilMillis = nowMillis + millis
        while (actions.isNotEmpty() && actions.peek().atMillis <= untilMillis) {
            val next = actions.remove()
            nowMillis = next.atMillis
            next.run()
        }
        nowMillis = untilMillis
    }

    private class ScheduledAction(
        val atMillis: Long,
        val sequence: Long,
        private val action: () -> Unit,
    ) {
        fun run() = action()
    }
}
