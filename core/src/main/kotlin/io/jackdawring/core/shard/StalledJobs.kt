package io.jackdawring.core.shard

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * Finds durable jobs that could move to another shard, and holds their tasks back while they do.
 *
 * A job moves only while none of its tasks has a run, or may have one that an earlier holder started.
 */
internal class StalledJobs(
    private val control: TargetControl,
    private val waiting: WaitingTasks,
    private val durable: DurableJobs,
    private val previousRuns: PreviousHolderRuns,
) {
    /** Jobs of which nothing has run for [STALL_MILLIS], although their tasks wait. */
    fun find(nowMillis: Long): ImmutableList<StalledJob> {
        for (job in durable.openJobs) {
            job.stalledSinceMillis = if (isWithoutRun(job, nowMillis)) job.stalledSinceMillis ?: nowMillis else null
        }
        return durable.openJobs
            .filter { job -> job.stalledSinceMillis?.let { nowMillis - it >= STALL_MILLIS } == true }
            .filter { isStalled(it, nowMillis) }
            .map { StalledJob(it.spec.id, needsOf(it)) }
            .toImmutableList()
    }

    /** Whether [job] may move as a whole, because none of its tasks has a run although some wait. */
    fun isStalled(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean =
        isMovable(job, nowMillis) &&
            job.tasks().none { it.runs.isNotEmpty() } &&
            job.tasks().any { it.waiting && it.mayStart(nowMillis) }

    /** As [isStalled]; the time in which a job of an earlier holder waits for evidence of its runs counts too. */
    private fun isWithoutRun(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean =
        if (previousRuns.isAwaitingRecovery(job.spec.id)) {
            job.tasks().none { control.isPresent(it.key) }
        } else {
            isStalled(job, nowMillis)
        }

    private fun isMovable(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean =
        !job.isMoving &&
            !job.isPart &&
            !job.hasTasksElsewhere &&
            areForeignRunsOver(job, nowMillis)

    /** Whether no earlier holder has, or may have, a run of [job]. */
    fun areForeignRunsOver(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean =
        !previousRuns.isAwaitingRecovery(job.spec.id) &&
            (!job.mayHaveForeignRuns || control.areDurableRunsOver(nowMillis))

    private fun needsOf(job: TrackedJob): JobNeeds {
        val steps = job.steps.filter { tasks -> tasks.any { it.waiting } }.map { it.first().spec }
        return JobNeeds(job.spec.service, steps)
    }

    /** Holds the tasks of [id] back until [DurableJobs.onMoved]; returns whether the job may move now. */
    fun hold(
        id: JobId,
        nowMillis: Long,
    ): Boolean {
        val job = durable.find(id) ?: return false
        if (!isStalled(job, nowMillis) || job.tasks().any { control.isPresent(it.key) }) return false
        job.isMoving = true
        job.tasks().forEach(waiting::remove)
        return true
    }

    companion object {
        /** Longer than a queue with short tasks takes to move on, below the 3 s after which a job counts as lost. */
        const val STALL_MILLIS = 2_000L
    }
}
