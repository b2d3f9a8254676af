package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap

/**
 * Decides everything about the targets of one shard: admission, queue, placement, retries, leases.
 *
 * Single-threaded; all times are milliseconds of one steady clock.
 */
interface ShardDispatcher {
    /** Replaces the list of the shard's targets. */
    fun updateTargets(
        targets: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    )

    /** Every target that may run something of this shard. */
    fun knownTargets(): ImmutableList<ShardTarget>

    /**
     * Adds the targets that the holder before knew, some of which the list may lack for a while.
     *
     * Without them, jobs that may run already wait until every lease of the holder before is over.
     */
    fun inherit(
        targets: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    )

    /** Adds a request for a job; it joins the job if it is known. */
    fun submit(
        request: JobRequest,
        waiter: WaiterId,
        nowMillis: Long,
    )

    /** Removes a request whose connection has closed. */
    fun withdraw(
        waiter: WaiterId,
        nowMillis: Long,
    )

    /**
     * Ends a request of a relay that has fallen silent.
     *
     * The caller may have sent the job to another shard meanwhile, so the relay cannot have it started again here.
     */
    fun expire(
        waiter: WaiterId,
        nowMillis: Long,
    )

    /** Adds a job that was stored just now and has not run. */
    fun submitDurable(
        job: DurableJob,
        nowMillis: Long,
    )

    /**
     * Adds stored jobs that earlier holders may have started; no target forgets an end before the first call.
     *
     * Their attempts are numbered from above [attemptBase], which must grow with each holder.
     */
    fun recover(
        jobs: ImmutableCollection<DurableJob>,
        attemptBase: Int,
        nowMillis: Long,
    )

    /** Notes that [version] of the progress of a kept job is stored. */
    fun onSaved(
        jobId: JobId,
        version: Long,
        nowMillis: Long,
    )

    /** Cancels a kept job unless it has ended; [ShardEffects.ended] follows once that is stored. */
    fun cancel(
        jobId: JobId,
        nowMillis: Long,
    )

    /** State of a kept job, or null if it is not known. */
    fun durableJobState(jobId: JobId): JobState?

    /** Whether a kept job has ended and its end is not stored yet, so that it is still shown as running. */
    fun isEndUnsaved(jobId: JobId): Boolean

    /** What is believed of each target, for operators. */
    fun targetViews(nowMillis: Long): ImmutableList<TargetView>

    /** Time that the targets of [service] need for the tasks that wait for them, or null if there is no target. */
    fun backlogMillis(
        service: String,
        nowMillis: Long,
    ): Long?

    /**
     * Load of the usable targets by service, in percent of their processor capacity.
     *
     * Tasks that wait count as well, so that more than 100 is a backlog. Services without a usable target are missing.
     */
    fun loadPercents(nowMillis: Long): ImmutableMap<String, Int>

    /** Number of tasks that wait for a target. */
    val waitingTasks: Int

    /** Number of waiting tasks, targets and runs that the decisions so far have looked at. */
    val examined: Long

    /** Forgets a kept job that has ended. */
    fun forget(jobId: JobId)

    fun onStart(
        targetId: TargetId,
        request: StartRequest,
        result: StartResult,
        nowMillis: Long,
    )

    fun onStop(
        targetId: TargetId,
        task: TaskKey,
        attempt: Int,
        result: StopResult,
        nowMillis: Long,
    )

    fun onPoll(
        targetId: TargetId,
        request: PollRequest,
        result: PollResult,
        nowMillis: Long,
    )

    /** Applies everything that is due. */
    fun tick(nowMillis: Long)

    /** Stops giving orders and answers every waiter with [JobOutcome.Moved]. */
    fun release(nowMillis: Long)

    /** Jobs of [queue] of which no task has started. */
    fun pendingJobs(queue: String): Int

    /** Creates dispatchers that give orders to the outlet. */
    fun interface Factory {
        fun create(
            options: ShardOptions,
            outlet: ShardEffects,
        ): ShardDispatcher

        companion object {
            /** Creates the dispatchers of this package. */
            val Default: Factory = Factory { options, outlet -> RealShardDispatcher(options, outlet) }
        }
    }
}
