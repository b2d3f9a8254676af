package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.store.KeyValueStore

/** Handles requests of callers about durable jobs; confined to the control thread. */
internal class DurableJobRequests(
    private val loop: ControlLoop,
    private val client: DurableJobClient,
    private val store: KeyValueStore,
) {
    private class Count(
        val jobs: Int,
        val atMillis: Long,
    )

    /** Last known counts of jobs that have not started. */
    private val counts = HashMap<Pair<ShardId, String>, Count>()

    /** Stores [job] for a caller that waits [waitMillis]. */
    fun submit(
        job: JobSpec,
        waitMillis: Long,
        onAnswer: (CallerAnswer) -> Unit,
    ) = DurableSubmission(job, waitMillis, loop, client, onAnswer).start()

    /** Queries the state of a job, which is cancelled first if [cancel] is set. */
    fun queryState(
        id: JobId,
        cancel: Boolean,
        onAnswer: (CallerAnswer) -> Unit,
    ) = DurableJobLookup(id, cancel, loop, client, store, onAnswer).start()

    /** Counts the jobs of [queue], in all shards, of which no task has started. */
    fun countPending(
        queue: String,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        val all = client.holdings.toList()
        var open = all.size
        var isIncomplete = false
        if (open == 0) onAnswer(CallerAnswer.Pending(0))
        for (holding in all) {
            client.countPending(holding, queue) { answer ->
                if (!recordCount(holding.shardId to queue, answer)) isIncomplete = true
                if (--open == 0) {
                    val sum = all.sumOf { counts[it.shardId to queue]?.jobs ?: 0 }
                    onAnswer(
                        if (isIncomplete) {
                            retryLaterAnswer(
                                "a holder does not know its jobs yet",
                            )
                        } else {
                            CallerAnswer.Pending(sum)
                        },
                    )
                }
            }
        }
    }

    /** Records a count, and returns whether there is a usable one; for an unreachable holder, the last one is used. */
    private fun recordCount(
        key: Pair<ShardId, String>,
        answer: DurableJobClient.CountAnswer,
    ): Boolean {
        val jobs = (answer as? DurableJobClient.CountAnswer.Known)?.jobs
        if (jobs != null) counts[key] = Count(jobs, loop.nowMillis())
        val isRecent = counts[key]?.let { loop.nowMillis() - it.atMillis <= COUNT_AGE_MILLIS } == true
        return isRecent || answer is DurableJobClient.CountAnswer.Unreachable && key in counts
    }

    private fun retryLaterAnswer(reason: String) = CallerAnswer.TryLater(reason, RETRY_AFTER_MILLIS)

    private companion object {
        /** Maximum age of a count, as the platform specifies. */
        const val COUNT_AGE_MILLIS = 2_000L

        /** About the duration of a take-over. */
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
