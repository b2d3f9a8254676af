package io.jackdawring.core.shard

/** Whether the failure domain of the shard's targets is evacuated, and which jobs may start tasks there all the same. */
internal class Evacuation {
    /** What is known of the requests to evacuate the failure domain. */
    enum class State {
        IN_SERVICE,

        /** The requests are not loaded yet. */
        UNKNOWN,
        EVACUATED,
    }

    var state = State.IN_SERVICE
        private set

    /** Jobs that had started when the request became known. */
    private var startedJobs = emptySet<TrackedJob>()
    private var graceEndsAtMillis = Long.MIN_VALUE

    /** Number of jobs that were refused since the request became known. */
    var refusedJobs = 0
        private set

    val isInService: Boolean get() = state == State.IN_SERVICE
    val isEvacuated: Boolean get() = state == State.EVACUATED
    val isUnknown: Boolean get() = state == State.UNKNOWN

    /** Applies what is known of the requests, null for nothing; returns whether that is a change. */
    fun update(isEvacuated: Boolean?): Boolean {
        val next =
            when (isEvacuated) {
                true -> State.EVACUATED
                false -> State.IN_SERVICE
                null -> State.UNKNOWN
            }
        if (next == state) return false
        state = next
        startedJobs = emptySet()
        return true
    }

    /** Lets the [started] jobs start their remaining tasks until [untilMillis]. */
    fun begin(
        started: Collection<TrackedJob>,
        untilMillis: Long,
    ) {
        startedJobs = started.toSet()
        graceEndsAtMillis = untilMillis
        refusedJobs = 0
    }

    /** Whether tasks of [job] may start. */
    fun mayStart(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean = isInService || nowMillis < graceEndsAtMillis && job in startedJobs

    /** Whether tasks of any job may start. */
    fun mayStartAny(nowMillis: Long): Boolean = isInService || nowMillis < graceEndsAtMillis && startedJobs.isNotEmpty()

    /** Counts [job] as refused, and returns its outcome. */
    fun refuse(job: TrackedJob): JobOutcome.NotRun {
        refusedJobs++
        // An earlier holder, or this one before it gave the job up, may have runs that are not over yet.
        return JobOutcome.NotRun("the failure domain is evacuated", RETRY_MILLIS, isEvacuated = !job.mayHaveRunBefore)
    }

    private companion object {
        /** Nothing is known of the time of the return, so callers need not come back every second. */
        const val RETRY_MILLIS = 5_000L
    }
}
