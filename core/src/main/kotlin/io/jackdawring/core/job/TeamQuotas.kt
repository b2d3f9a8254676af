package io.jackdawring.core.job

import io.jackdawring.core.configuration.Configuration
import io.jackdawring.core.queue.TaskQueue

/** Divides each team's quota of concurrent tasks exactly among the live entry instances. */
internal class TeamQuotas(
    private val queue: TaskQueue,
) {
    private val shares = HashMap<String, Int>()

    /** Number of tasks of [team] that this instance may run concurrently. */
    fun shareOf(team: String): Int = shares[team] ?: Int.MAX_VALUE

    /** Recomputes the shares of this instance, which is at [rank] of [liveCount] instances in id order. */
    fun update(
        configuration: Configuration,
        liveCount: Int,
        rank: Int,
    ) {
        shares.clear()
        configuration.services.values.groupBy { it.team }.forEach { (team, services) ->
            val quota = services.sumOf { it.quotaTasks.toLong() }
            val share = (quota / liveCount + if (rank < quota % liveCount) 1 else 0).toInt()
            shares[team] = share
            queue.setQuota(team, share)
        }
    }
}
