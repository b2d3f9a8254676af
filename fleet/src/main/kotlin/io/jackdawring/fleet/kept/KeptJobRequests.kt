package io.jackdawring.fleet.kept

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.fleet.store.ListResult

/** Requests of callers about kept jobs; belongs to the control thread. */
internal class KeptJobRequests(
    private val loop: ControlLoop,
    private val holders: KeptHolders,
    private val store: KeyValueStore,
) {
    private class Count(
        val jobs: Int,
        val atMillis: Long,
    )

    /** Last known counts of jobs that have not begun. */
    private val counts = HashMap<Pair<ShardId, String>, Count>()

    /** Stores [job] for a caller that waits [waitMillis]. */
    fun submit(
        job: JobSpec,
        waitMillis: Long,
        onAnswer: (CallerAnswer) -> Unit,
    ) = KeptSubmission(job, waitMillis, loop, holders, onAnswer).start()

    /** Tells the state of a job, which is cancelled first if [cancel] is set. */
    fun ask(
        id: JobId,
        cancel: Boolean,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        var answered = false
        val answerOnce = { answer: CallerAnswer ->
            if (!answered) onAnswer(answer)
            answered = true
        }
        loop.schedule(ANSWER_LIMIT_MILLIS) { answerOnce(tryLater("the job's holder or the store is slow")) }
        askShards(holders.ownShards, id, cancel, answerOnce) { askStore(id, cancel, answerOnce) }
    }

    /** Asks the holders of [shardIds] in turn, then goes on with [onUnknown]. */
    private fun askShards(
        shardIds: List<ShardId>,
        id: JobId,
        cancel: Boolean,
        onAnswer: (CallerAnswer) -> Unit,
        onUnknown: () -> Unit,
    ) {
        val first = shardIds.firstOrNull()
        if (first == null) {
            onUnknown()
            return
        }
        val goOn = { askShards(shardIds.drop(1), id, cancel, onAnswer, onUnknown) }
        val holding = holders.holding(first) ?: return goOn()
        holders.ask(holding, id, cancel) { answer ->
            val state = (answer as? KeptHolders.StateAnswer.Known)?.state
            if (state == null) goOn() else onAnswer(CallerAnswer.State(state))
        }
    }

    /** The store knows the shard of every kept job. */
    private fun askStore(
        id: JobId,
        cancel: Boolean,
        onAnswer: (CallerAnswer) -> Unit,
    ) = store.list(KeptKeys.place(id)) { result ->
        when (result) {
            is ListResult.Unavailable -> onAnswer(tryLater("the store is not available: ${result.detail}"))
            is ListResult.Listed -> {
                val place = result.items.firstOrNull { it.key == KeptKeys.place(id) }?.let(KeptJobPlace::decode)
                if (place == null) onAnswer(CallerAnswer.UnknownJob) else askHolder(place.shardId, id, cancel, onAnswer)
            }
        }
    }

    private fun askHolder(
        shardId: ShardId,
        id: JobId,
        cancel: Boolean,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        val others = listOf(shardId).filterNot { it in holders.ownShards }
        askShards(others, id, cancel, onAnswer) { readRecord(shardId, id, cancel, onAnswer) }
    }

    private fun readRecord(
        shardId: ShardId,
        id: JobId,
        cancel: Boolean,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        val key = KeptKeys.record(shardId, id)
        store.list(key) { result ->
            val record =
                (result as? ListResult.Listed)?.items?.firstOrNull { it.key == key }?.let(
                    KeptJobRecord::decode,
                )
            val state = record?.progress?.state
            onAnswer(
                when {
                    result is ListResult.Unavailable -> tryLater("the store is not available: ${result.detail}")
                    state == null -> CallerAnswer.UnknownJob
                    cancel && !state.isEnded -> tryLater("the holder of the job does not answer")
                    else -> CallerAnswer.State(state)
                },
            )
        }
    }

    /** Counts the jobs of [queue] in all shards of which no task has started. */
    fun countPending(
        queue: String,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        val all = holders.holdings.toList()
        var open = all.size
        var isIncomplete = false
        if (open == 0) onAnswer(CallerAnswer.Pending(0))
        for (holding in all) {
            holders.countPending(holding, queue) { answer ->
                if (!note(holding.shardId to queue, answer)) isIncomplete = true
                if (--open == 0) {
                    val sum = all.sumOf { counts[it.shardId to queue]?.jobs ?: 0 }
                    onAnswer(
                        if (isIncomplete) {
                            tryLater(
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

    /** Keeps a count, and returns whether there is one to use; of a holder that is cut off, the last one is. */
    private fun note(
        key: Pair<ShardId, String>,
        answer: KeptHolders.CountAnswer,
    ): Boolean {
        val jobs = (answer as? KeptHolders.CountAnswer.Known)?.jobs
        if (jobs != null) counts[key] = Count(jobs, loop.nowMillis())
        val isRecent = counts[key]?.let { loop.nowMillis() - it.atMillis <= COUNT_AGE_MILLIS } == true
        return isRecent || answer is KeptHolders.CountAnswer.Unreachable
    }

    private fun tryLater(reason: String) = CallerAnswer.TryLater(reason, RETRY_AFTER_MILLIS)

    private companion object {
        /** Below the time for which callers usually wait; a cancellation is stored in tens of milliseconds. */
        const val ANSWER_LIMIT_MILLIS = 1_200L

        /** Age up to which a count may be given, as the platform's pages say. */
        const val COUNT_AGE_MILLIS = 2_000L

        /** About the time that a take-over needs. */
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
