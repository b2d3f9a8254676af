package io.jackdawring.core.shard

/** Ends of runs that an earlier holder started, kept until their jobs arrive again. */
internal class UnclaimedEnds(
    private val retentionMillis: Long,
) {
    private class Entry(
        val ending: EndedRun.Ending,
        val addedAtMillis: Long,
    )

    private val entries = LinkedHashMap<TaskKey, Entry>()

    fun add(
        end: EndedRun,
        nowMillis: Long,
    ) {
        entries.remove(end.task)
        entries[end.task] = Entry(end.ending, nowMillis)
    }

    fun take(
        task: TaskKey,
        nowMillis: Long,
    ): EndedRun.Ending? = entries.remove(task)?.takeIf { nowMillis - it.addedAtMillis < retentionMillis }?.ending

    fun forgetOld(nowMillis: Long) {
        val iterator = entries.values.iterator()
        while (iterator.hasNext() && nowMillis - iterator.next().addedAtMillis >= retentionMillis) iterator.remove()
    }
}
