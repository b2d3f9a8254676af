package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.core.shard.StalledJob
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.repeatEvery

/**
 * Moves durable jobs that cannot run in their shard to one that has room for them; confined to the control thread.
 *
 * A job that only waits for busy targets moves if another shard has room now. One that no target of its shard can run
 * moves to any shard that can run it.
 */
internal class StalledJobMover(
    private val shardId: ShardId,
    private val dispatcher: ShardDispatcher,
    private val loop: ControlLoop,
    private val capacities: ShardCapacities,
    private val move: (JobId, ShardId, () -> JobSnapshot) -> Unit,
) {
    private var isAsking = false

    /** Position of the stalled job that is next in turn. */
    private var nextIndex = 0
    private var stopped = false

    fun start() = loop.repeatEvery(INTERVAL_MILLIS, ::runRound)

    fun stop() {
        stopped = true
    }

    private fun runRound(): Boolean {
        if (stopped) return false
        if (isAsking) return true
        val stalled = nextOf(dispatcher.stalledJobs(loop.nowMillis()))
        if (stalled.isEmpty()) return true
        isAsking = true
        capacities.query(shardId, stalled.map { it.needs }) { delays ->
            isAsking = false
            if (!stopped) moveAll(stalled, delays)
        }
        return true
    }

    /** Up to [MAX_JOBS] of [all], in turn, so that jobs that no shard can run do not keep the others from moving. */
    private fun nextOf(all: List<StalledJob>): List<StalledJob> {
        val first = if (nextIndex < all.size) nextIndex else 0
        nextIndex = first + MAX_JOBS
        return all.drop(first).take(MAX_JOBS)
    }

    /** Moves those of [jobs] that can start sooner elsewhere; [delaysMillis] has a value for each of them. */
    private fun moveAll(
        jobs: List<StalledJob>,
        delaysMillis: Map<ShardId, List<Long?>>,
    ) {
        for ((index, job) in jobs.withIndex()) moveIfUseful(job, delaysMillis.mapValues { it.value[index] })
    }

    private fun moveIfUseful(
        job: StalledJob,
        delaysMillis: Map<ShardId, Long?>,
    ) {
        val now = loop.nowMillis()
        val ownMillis = dispatcher.delayMillis(job.needs, now)
        val acceptable = delaysMillis.filterValues { it != null && isBetter(it, ownMillis) }
        val leastMillis = acceptable.values.filterNotNull().minOrNull() ?: return
        val best = acceptable.filterValues { it == leastMillis }.keys.toList()
        // Jobs spread over shards that are equally good, because their answers do not include each other.
        val target = best[Math.floorMod(job.id.value.hashCode(), best.size)]
        val snapshot = dispatcher.holdForMove(job.id, now) ?: return
        move(job.id, target, snapshot)
    }

    private fun isBetter(
        delayMillis: Long,
        ownMillis: Long?,
    ): Boolean = ownMillis == null || delayMillis == 0L && ownMillis >= MIN_GAIN_MILLIS

    private companion object {
        const val INTERVAL_MILLIS = 500L

        /** Limits the jobs of one round, so that the answers of the next one include them. */
        const val MAX_JOBS = 32

        /** About the time that a move takes until the job can start in the other shard. */
        const val MIN_GAIN_MILLIS = 1_000L
    }
}
