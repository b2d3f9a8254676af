package io.jackdawring.fleet.model

import io.jackdawring.testing.VirtualClock

/** Network paths between named nodes; what is sent over a cut path arrives when it is whole again. */
internal class FakeLinks(
    private val clock: VirtualClock,
) {
    private val cutUntilMillis = HashMap<Set<String>, Long>()

    fun cut(
        a: String,
        b: String,
        millis: Long,
    ) {
        cutUntilMillis.merge(setOf(a, b), clock.nowMillis + millis, ::maxOf)
    }

    fun isCut(
        a: String,
        b: String,
    ): Boolean = (cutUntilMillis[setOf(a, b)] ?: 0) > clock.nowMillis

    /** Runs [onArrival] when a packet sent now from [from] arrives at [to]. */
    fun transmit(
        from: String,
        to: String,
        onArrival: () -> Unit,
    ) {
        val waitMillis = ((cutUntilMillis[setOf(from, to)] ?: 0) - clock.nowMillis).coerceAtLeast(0)
        clock.schedule(waitMillis + LATENCY_MILLIS) {
            if (isCut(from, to)) transmit(from, to, onArrival) else onArrival()
        }
    }

    companion object {
        const val LATENCY_MILLIS = 1L
        const val STORE = "store"

        /** The node of the callers of [domain]. */
        fun callers(domain: String) = "callers of $domain"
    }
}
