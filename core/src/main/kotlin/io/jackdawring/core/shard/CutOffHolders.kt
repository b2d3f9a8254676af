package io.jackdawring.core.shard

/**
 * Earlier holders of the shard that may be alive and cut off, and those of them that have stopped since.
 *
 * Such a holder goes on with its targets, some of which this one may not know, until it says that it has stopped. No
 * time limit shows that.
 */
internal class CutOffHolders {
    private class Stop(
        val holderToken: Long,
        val handOver: HandOver,
        val atMillis: Long,
    )

    private val stops = ArrayDeque<Stop>()
    private var highestToken: Long? = null

    /** Fencing token up to which earlier holders may go on; null if all have stopped. */
    var upToToken: Long? = null
        private set

    /** Whether the holders that have stopped knew all runs of the shard. */
    var areRunsKnown = true
        private set

    /** Time at which the last holder from [holderToken] on was known to have stopped; null if there was none. */
    fun lastStopMillis(holderToken: Long): Long? =
        stops.filter { it.holderToken >= holderToken }.maxOfOrNull { it.atMillis }

    /** What the holders that were possibly cut off, apart from that with [exceptToken], said of their callers. */
    fun statements(exceptToken: Long?): List<ServiceStatement> {
        val upTo = highestToken ?: return emptyList()
        return stops
            .filter { it.holderToken <= upTo && it.holderToken != exceptToken }
            .map { ServiceStatement(it.atMillis - it.handOver.unservedMillis, it.atMillis) }
    }

    /** Records that holders up to [holderToken] may be cut off. */
    fun onCutOff(holderToken: Long) {
        upToToken = maxOf(upToToken ?: 0, holderToken)
        highestToken = maxOf(highestToken ?: 0, holderToken)
        applyStops()
    }

    /** Records that the holder with [holderToken] stopped at [stoppedAtMillis], and what it knew then. */
    fun onStopped(
        holderToken: Long,
        handOver: HandOver,
        stoppedAtMillis: Long,
    ) {
        stops.addLast(Stop(holderToken, handOver, stoppedAtMillis))
        if (stops.size > MAX_STOPS) stops.removeFirst()
        applyStops()
    }

    private fun applyStops() {
        while (true) {
            val token = upToToken ?: return
            val stop =
                stops.firstOrNull { it.holderToken >= token && (it.handOver.cutOffToken ?: 0) < token } ?: return
            upToToken = stop.handOver.cutOffToken
            areRunsKnown = areRunsKnown && stop.handOver.areAllRunsThere
        }
    }

    private companion object {
        /** Far more than the holders of a shard within the deadline of a job. */
        const val MAX_STOPS = 16
    }
}
