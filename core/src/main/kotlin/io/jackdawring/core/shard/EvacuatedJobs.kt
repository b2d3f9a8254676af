package io.jackdawring.core.shard

/** Ends the jobs that an evacuation of the failure domain keeps from running. */
internal class EvacuatedJobs(
    private val lifecycle: JobLifecycle,
    private val effects: ShardEffects,
) {
    private val control = lifecycle.control
    private val evacuation = control.evacuation

    /** Refuses the jobs of which nothing has started, and lets the others start tasks for [graceMillis]. */
    fun onEvacuated(
        nowMillis: Long,
        graceMillis: Long,
    ) {
        val (started, waiting) = lifecycle.awaitedJobs.partition { it.started }
        evacuation.begin(started.filterNot(::awaitsEarlierRuns), nowMillis + graceMillis)
        waiting.forEach { lifecycle.finish(it, evacuation.refuse(it), nowMillis) }
        report()
    }

    fun onReturned(nowMillis: Long) {
        if (evacuation.isInService) control.onReturnedToService(nowMillis)
        report()
    }

    /** Whether nothing of [job] runs any more, and what is left of it cannot start. */
    fun isStranded(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean =
        evacuation.isEvacuated &&
            !evacuation.mayStart(job, nowMillis) &&
            !awaitsEarlierRuns(job) &&
            job.tasks().none { it.runs.isNotEmpty() }

    private fun awaitsEarlierRuns(job: TrackedJob) = lifecycle.previousRuns.isAwaitingRecovery(job.spec.id)

    private fun report() {
        val open = lifecycle.awaitedJobs + lifecycle.durable.openJobs
        val waitingJobs = open.count { job -> job.tasks().any { it.waiting } }
        effects.report(ShardDecision.EvacuationChanged(evacuation.isEvacuated, evacuation.refusedJobs, waitingJobs))
    }
}
