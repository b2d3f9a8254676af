package io.jackdawring.core.shard

/**
 * Jobs for which nobody waits any more.
 *
 * They are kept for [retentionMillis] after this holder has learned that, and for as long as their runs go on.
 */
internal class AbandonedJobs(
    private val retentionMillis: Long,
) {
    private class Entry(
        val sinceMillis: Long,
        val learnedAtMillis: Long,
    )

    private val entries = LinkedHashMap<JobId, Entry>()

    val ids: List<JobId> get() = entries.keys.toList()

    operator fun contains(id: JobId): Boolean = id in entries

    /** Time since which nobody waits for the job [id]. */
    fun sinceMillis(id: JobId): Long? = entries[id]?.sinceMillis

    /** Records at [nowMillis] that nobody waits for the job [id] since [sinceMillis]. */
    fun add(
        id: JobId,
        sinceMillis: Long,
        nowMillis: Long,
    ) {
        entries[id] = Entry(minOf(sinceMillis, entries[id]?.sinceMillis ?: sinceMillis), nowMillis)
    }

    fun remove(id: JobId) {
        entries.remove(id)
    }

    /** Removes what is no longer needed; [withRuns] returns those of some jobs that have runs. */
    fun removeExpired(
        nowMillis: Long,
        withRuns: (Collection<JobId>) -> Set<JobId>,
    ) {
        val expired = entries.filterValues { nowMillis - it.learnedAtMillis >= retentionMillis }.keys
        if (expired.isNotEmpty()) entries.keys.removeAll(expired - withRuns(expired))
    }
}
