package io.jackdawring.core.shard

/** The kept jobs of a shard: those that run, the states of those that have ended, and what of them is stored. */
internal class KeptJobs(
    private val outlet: ShardEffects,
    private val control: TargetControl,
) {
    /** [job] is null once the end is stored. */
    private class Ended(
        val job: HeldJob?,
        val state: JobState,
    )

    private val open = LinkedHashMap<JobId, HeldJob>()
    private val ended = HashMap<JobId, Ended>()

    val openJobs: Collection<HeldJob> get() = open.values

    fun isOpen(job: HeldJob): Boolean = open[job.spec.id] === job

    fun knows(id: JobId): Boolean = id in open || id in ended

    fun find(id: JobId): HeldJob? = open[id]

    /** The job, also if it has ended and its end is not stored yet. */
    fun findUnsaved(id: JobId): HeldJob? = open[id] ?: ended[id]?.job

    fun add(job: HeldJob) {
        open[job.spec.id] = job
        report(job, if (job.started) JobState.RUNNING else JobState.QUEUED, "stored")
    }

    fun addEnded(
        id: JobId,
        state: JobState,
    ) {
        ended[id] = Ended(null, state)
    }

    /** State as callers may see it: an end is shown once it is stored. */
    fun stateOf(id: JobId): JobState? {
        val end = ended[id]
        if (end != null) return if (end.job == null) end.state else JobState.RUNNING
        return open[id]?.let { if (it.started) JobState.RUNNING else JobState.QUEUED }
    }

    fun isEndUnsaved(id: JobId): Boolean = ended[id]?.job != null

    /** Stores that a task of [job] is done or has failed. */
    fun progressed(job: HeldJob) {
        job.progressVersion++
        outlet.save(job.spec.id) { JobSnapshot(job.progress(), job.progressVersion) }
    }

    fun end(
        job: HeldJob,
        state: JobState,
        reason: String,
    ) {
        open.remove(job.spec.id)
        ended[job.spec.id] = Ended(job, state)
        report(job, state, reason)
        job.endState = state
        progressed(job)
    }

    /** Notes that [version] of the progress is stored; the targets may forget the ends that led to it. */
    fun onSaved(
        id: JobId,
        version: Long,
        nowMillis: Long,
    ) {
        control.onSaved(id, version, nowMillis)
        val end = ended[id]
        val job = open[id] ?: end?.job ?: return
        job.savedVersion = maxOf(job.savedVersion, version)
        if (end == null || job.isSaving) return
        ended[id] = Ended(null, end.state)
        outlet.ended(id, end.state)
    }

    /** Forgets a job that has ended long ago. */
    fun forget(id: JobId) {
        ended.remove(id)
    }

    fun clear() = open.clear()

    private fun report(
        job: HeldJob,
        state: JobState,
        reason: String,
    ) = outlet.report(ShardDecision.DurableJobChanged(job.spec.id, job.spec.queue, state, reason))
}
