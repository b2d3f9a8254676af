package io.jackdawring.core.shard

/** Outcomes of jobs that have ended, for requests that arrive again. */
internal class OutcomeMemory(
    private val retentionMillis: Long,
) {
    private class Entry(
        val outcome: JobOutcome,
        val addedAtMillis: Long,
    )

    private val entries = LinkedHashMap<JobId, Entry>()

    fun add(
        id: JobId,
        outcome: JobOutcome,
        nowMillis: Long,
    ) {
        entries.remove(id)
        entries[id] = Entry(outcome, nowMillis)
    }

    fun find(
        id: JobId,
        nowMillis: Long,
    ): JobOutcome? = entries[id]?.takeIf { nowMillis - it.addedAtMillis < retentionMillis }?.outcome

    fun forgetOld(nowMillis: Long) {
        val iterator = entries.values.iterator()
        while (iterator.hasNext() && nowMillis - iterator.next().addedAtMillis >= retentionMillis) iterator.remove()
    }
}
