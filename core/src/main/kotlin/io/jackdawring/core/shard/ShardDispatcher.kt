package io.jackdawring.core.shard

import io.jackdawring.core.PauseGuard
import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap

/**
 * Scheduler of one shard, which is a set of targets that one entry instance, the holder, uses at a time.
 *
 * It admits and queues jobs, starts runs of their tasks on the targets, renews the targets' leases, and retries tasks
 * whose runs fail or are lost. Single-threaded; all times are milliseconds of one monotonic clock.
 */
interface ShardDispatcher {
    /** Replaces the list of the shard's targets. */
    fun updateTargets(
        targets: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    )

    /**
     * Records whether the failure domain of the targets is evacuated; null if that is not known yet.
     *
     * Unless it is false, which it is at first, no task starts, except that jobs which this holder has started may start
     * their remaining tasks for [graceMillis] after the evacuation became known.
     */
    fun updateEvacuated(
        isEvacuated: Boolean?,
        nowMillis: Long,
        graceMillis: Long = 0,
    )

    /** What a successor has to know; starts on further targets are held back until [cancelHandOver] or the release. */
    fun handOver(nowMillis: Long): HandOver

    /** Continues without a successor. */
    fun cancelHandOver()

    /**
     * Time for which callers of jobs with runs here may have been gone, whether by their own word or unnoticed.
     *
     * Relays that have fallen silent do not count. A successor stops runs that nobody claims in time from then.
     */
    fun unservedMillis(nowMillis: Long): Long

    /**
     * Adds the targets that the predecessor, which held the shard with [holderToken], knew at [madeAtMillis].
     *
     * The list of targets may lack some of them for a while. Without this call, or if runs may be on other targets too,
     * jobs that may already run wait until every lease of the previous holder has expired.
     */
    fun inherit(
        holderToken: Long,
        handOver: HandOver,
        madeAtMillis: Long,
        nowMillis: Long,
    )

    /**
     * Records that all callers of the runs that the predecessor knew were known to wait at [servedAtMillis].
     *
     * They may send their jobs again soon after, so runs that no relay claims are stopped in time.
     */
    fun onPredecessorServed(servedAtMillis: Long)

    /** Records that the predecessor knew of earlier holders that were possibly cut off; [onHolderStopped] may follow. */
    fun onOthersCutOff()

    /**
     * Records that earlier holders up to [holderToken] may be alive and cut off, with targets that this one may not know.
     *
     * Jobs that callers wait for, and that were sent to one of them, are resumed only after [onHolderStopped]. With
     * [isPredecessor], there was no other holder since.
     */
    fun onHoldersCutOff(
        holderToken: Long,
        isPredecessor: Boolean,
    )

    /** Records that the earlier holder with [holderToken] stopped at [stoppedAtMillis], and what it knew then. */
    fun onHolderStopped(
        holderToken: Long,
        handOver: HandOver,
        stoppedAtMillis: Long,
        nowMillis: Long,
    )

    /** Adds a request for a job, or joins it to the job if that is known; [ShardEffects.answer] gets the outcome. */
    fun submit(
        request: JobRequest,
        waiter: WaiterId,
        nowMillis: Long,
    )

    /**
     * Removes a request whose connection has closed.
     *
     * Unless it is known that the caller has left, its relay may replace the connection, and the job is kept for a moment.
     */
    fun withdraw(
        waiter: WaiterId,
        hasCallerLeft: Boolean,
        nowMillis: Long,
    )

    /**
     * Gives up a request whose relay, the entry instance that forwarded it, has sent nothing since [sinceMillis].
     *
     * The caller may have sent the job to another shard meanwhile, so a resend by the relay does not start it again.
     */
    fun expire(
        waiter: WaiterId,
        sinceMillis: Long,
        nowMillis: Long,
    )

    /** Adds a durable job that was just stored and has never run. */
    fun submitDurable(
        job: DurableJob,
        nowMillis: Long,
    )

    /**
     * Adds stored jobs that previous holders may have started; targets keep all ended runs until the first call.
     *
     * New attempts are numbered above [attemptBase], which must increase with each holder.
     */
    fun recover(
        jobs: ImmutableCollection<DurableJob>,
        attemptBase: Int,
        nowMillis: Long,
    )

    /** Records that [version] of the progress of a durable job is stored. */
    fun onSaved(
        jobId: JobId,
        version: Long,
        nowMillis: Long,
    )

    /** Cancels a durable job unless it has ended; [ShardEffects.ended] follows once its end is stored. */
    fun cancel(
        jobId: JobId,
        nowMillis: Long,
    )

    /** State of a durable job, or null if the job is unknown. */
    fun durableJobState(jobId: JobId): JobState?

    /** Whether a durable job has ended but is still shown as running, because its end is not stored yet. */
    fun isEndUnsaved(jobId: JobId): Boolean

    /** The holder's view of each target, for operators. */
    fun targetViews(nowMillis: Long): ImmutableList<TargetView>

    /**
     * Estimated time until a job with [needs] can start: 0 if there is room now, null if no usable target can run it.
     *
     * Capacity that long-running tasks use does not count, because it does not become free.
     */
    fun delayMillis(
        needs: JobNeeds,
        nowMillis: Long,
    ): Long?

    /** Durable jobs of which nothing has run for a while although tasks wait; they may move to another shard. */
    fun stalledJobs(nowMillis: Long): ImmutableList<StalledJob>

    /**
     * Holds back the tasks of a stalled job until [onMoved]; returns its progress to be stored in the other shard, or
     * null if the job may not move now.
     */
    fun holdForMove(
        jobId: JobId,
        nowMillis: Long,
    ): (() -> JobSnapshot)?

    /** Records that a job for which [holdForMove] was called is stored in another shard. */
    fun onMoved(
        jobId: JobId,
        nowMillis: Long,
    )

    /** Tasks of durable jobs that run in another shard than their job. */
    val parts: JobParts

    /**
     * Records that durable jobs may run here until [untilMillis]; without a call, they may always.
     *
     * The time is that of [io.jackdawring.core.PauseGuard.elapsedMillis].
     */
    fun onOwnershipExtended(untilMillis: Long)

    /** Records that no other holder had claimed the shard at [atMillis]; without a call, none ever does. */
    fun onOwnershipConfirmed(atMillis: Long)

    /** Whether durable runs on silent targets wait for [onOwnershipConfirmed], because a successor may have their leases. */
    val awaitsConfirmation: Boolean

    /** Records that no earlier holder starts durable runs, or renews their leases, from [nowMillis] on. */
    fun onEarlierHoldersStopped(nowMillis: Long)

    /** Number of durable jobs that have not ended, parts included. */
    val openDurableJobs: Int

    /**
     * Load of the usable targets by service, in percent of their CPU capacity.
     *
     * Waiting tasks count as load, so that more than 100 means a backlog. Services without a usable target are omitted.
     */
    fun loadPercents(nowMillis: Long): ImmutableMap<String, Int>

    /** Number of tasks that wait for a target. */
    val waitingTasks: Int

    /** Number of waiting tasks, targets and runs that the decisions so far have examined. */
    val examined: Long

    /** Forgets a durable job that has ended. */
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

    /** Performs everything that is due, such as polls, timeouts, placement and preemption. */
    fun tick(nowMillis: Long)

    /** Stops all effects after answering every waiter with [JobOutcome.Moved]. */
    fun release(nowMillis: Long)

    /** Number of jobs of [queue] of which no task has started. */
    fun pendingJobs(queue: String): Int

    /** Creates dispatchers. */
    fun interface Factory {
        fun create(
            options: ShardOptions,
            effects: ShardEffects,
            pauses: PauseGuard,
        ): ShardDispatcher

        companion object {
            /** Creates instances of the default implementation. */
            val Default: Factory = Factory { options, effects, pauses -> RealShardDispatcher(options, effects, pauses) }
        }
    }
}
