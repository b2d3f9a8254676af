package io.jackdawring.core.shard

/**
 * Knows for which priorities a shard lately lacked capacity; single-threaded.
 *
 * Less urgent jobs with longer objectives can wait longer, and would take all capacity that becomes free.
 */
internal class UrgentShortage {
    /** Times of the last two jobs of a priority that were not admitted as ones that are on time. */
    private class Late(
        val beforeMillis: Long,
        val lastMillis: Long,
    )

    private val services = HashMap<String, HashMap<Int, Late>>()

    /** Records that [job] could not be admitted as one that is on time. */
    fun record(
        job: TrackedJob,
        nowMillis: Long,
    ) {
        if (services.size >= MAX_SERVICES) services.clear()
        val late = services.getOrPut(job.spec.service, ::HashMap)
        val before = late[job.spec.priority]?.lastMillis ?: Long.MIN_VALUE
        late[job.spec.priority] = Late(before, nowMillis)
    }

    /** Whether jobs that are more urgent than [job] lately found no capacity in time. */
    fun concerns(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean =
        services[job.spec.service].orEmpty().any { (priority, late) ->
            priority < job.spec.priority && late.beforeMillis > nowMillis - MEMORY_MILLIS
        }

    private companion object {
        /** Several times the interval between urgent jobs, and about the time in which waiting tasks are placed. */
        const val MEMORY_MILLIS = 500L

        /** Bounds the memory for services that are no longer configured. */
        const val MAX_SERVICES = 256
    }
}
