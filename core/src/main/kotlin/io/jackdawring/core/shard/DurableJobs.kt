package io.jackdawring.core.shard

/** The durable jobs of a shard: the open ones, the final states of the ended ones, and which progress is stored. */
internal class DurableJobs(
    private val effects: ShardEffects,
    private val control: TargetControl,
) {
    /** [job] is null once the end is stored. */
    private class Ended(
        val job: TrackedJob?,
        val state: JobState,
        /** The job if it is another shard's. */
        val part: TrackedJob? = job?.takeIf { it.isPart },
    )

    private val open = LinkedHashMap<JobId, TrackedJob>()
    private val ended = HashMap<JobId, Ended>()

    val openJobs: Collection<TrackedJob> get() = open.values

    fun isOpen(job: TrackedJob): Boolean = open[job.spec.id] === job

    fun contains(id: JobId): Boolean = id in open || id in ended

    fun find(id: JobId): TrackedJob? = open[id]

    /** The part with the id of its job, open or ended. */
    fun findPart(id: JobId): TrackedJob? = (open[id] ?: ended[id]?.part)?.takeIf { it.isPart }

    /** The job if it is open, or has ended and its end is not stored yet. */
    fun findUnsaved(id: JobId): TrackedJob? = open[id] ?: ended[id]?.job

    fun add(job: TrackedJob) {
        open[job.spec.id] = job
        report(job, if (job.started) JobState.RUNNING else JobState.QUEUED, "stored")
    }

    fun addEnded(
        id: JobId,
        state: JobState,
    ) {
        ended[id] = Ended(null, state)
    }

    /** State as shown to callers: an end is shown only once it is stored, and parts only at the shard of their job. */
    fun stateOf(id: JobId): JobState? {
        if (findPart(id) != null) return null
        val end = ended[id]
        if (end != null) return if (end.job == null) end.state else JobState.RUNNING
        return open[id]?.let { if (it.started) JobState.RUNNING else JobState.QUEUED }
    }

    fun isEndUnsaved(id: JobId): Boolean = ended[id]?.job?.isPart == false

    /** Stores the progress of [job] after a change. */
    fun saveProgress(job: TrackedJob) {
        job.progressVersion++
        effects.save(job.spec.id) { JobSnapshot(job.progress(), job.progressVersion) }
    }

    fun end(
        job: TrackedJob,
        state: JobState,
        reason: String,
    ) {
        open.remove(job.spec.id)
        ended[job.spec.id] = Ended(job, state)
        report(job, state, reason)
        job.endState = state
        saveProgress(job)
    }

    /** Records that [version] of the progress is stored; the targets may forget the ended runs that led to it. */
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
        ended[id] = Ended(null, end.state, end.part)
        if (end.part == null) effects.ended(id, end.state)
    }

    /** Forgets a job that ended long ago. */
    fun forget(id: JobId) {
        ended.remove(id)
    }

    /** Forgets a job that another shard has now, and lets the targets forget its ended runs. */
    fun onMoved(
        id: JobId,
        nowMillis: Long,
    ) {
        open.remove(id)
        control.onSaved(id, version = Long.MAX_VALUE, nowMillis)
    }

    fun clear() = open.clear()

    private fun report(
        job: TrackedJob,
        state: JobState,
        reason: String,
    ) {
        if (job.isPart) return
        effects.report(ShardDecision.DurableJobChanged(job.spec.id, job.spec.queue, state, reason))
    }
}
