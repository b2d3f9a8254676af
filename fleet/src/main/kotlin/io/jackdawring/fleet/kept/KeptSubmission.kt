package io.jackdawring.fleet.kept

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.ControlLoop

/**
 * One request of a caller to keep a job, until it is answered.
 *
 * Holders are asked in turn; the key of the job in the store lets only one of them store it. After an answer that leaves
 * open whether the job is stored, it is never refused: it is stored at last, or the caller learns that this is unknown.
 */
internal class KeptSubmission(
    private val job: JobSpec,
    private val waitMillis: Long,
    private val loop: ControlLoop,
    private val holders: KeptHolders,
    private val onAnswer: (CallerAnswer) -> Unit,
) {
    private val startedAtMillis = loop.nowMillis()
    private val deadlineMillis = startedAtMillis + waitMillis
    private val refusals = LinkedHashMap<ShardId, KeepOutcome.Refused>()
    private var isUnsure = false

    /** Requests without a usable answer; each lets the next holder be asked. */
    private var unanswered = 0

    private var isInProgress = false
    private var answered = false

    fun start() {
        loop.schedule(waitMillis - ANSWER_MARGIN_MILLIS) { answer(openAnswer("no answer of a holder")) }
        ask()
    }

    private fun ask() {
        if (answered) return
        val now = loop.nowMillis()
        val remaining = deadlineMillis - now - ANSWER_MARGIN_MILLIS
        val candidates = holders.candidates(job)
        val open = candidates.filterNot { it.shardId in refusals }
        val leastBacklog =
            candidates
                .filter { refusals[it.shardId]?.backlogMillis != null }
                .minByOrNull { refusals[it.shardId]?.backlogMillis ?: Long.MAX_VALUE }
        val refusal = refusals.values.firstOrNull()
        when {
            remaining <= 0 -> answer(openAnswer("no answer of a holder"))
            open.isNotEmpty() && refusals.size < MAX_HOLDERS ->
                submitDurable(
                    open[unanswered % open.size],
                    remaining,
                    false,
                )
            leastBacklog != null -> submitDurable(leastBacklog, remaining, despiteBacklog = true)
            refusal != null && !isUnsure -> answer(CallerAnswer.NotRun(refusal.reason, refusal.retryAfterMillis))
            !isUnsure && now - startedAtMillis >= PATIENCE_MILLIS ->
                answer(openAnswer("no entry instance holds the targets"))
            else -> askLater()
        }
    }

    private fun askLater() = loop.schedule(RETRY_MILLIS, ::ask)

    private fun submitDurable(
        holding: ShardHolding,
        remainingMillis: Long,
        despiteBacklog: Boolean,
    ) {
        isInProgress = true
        val wait = minOf(remainingMillis, MAX_WAIT_MILLIS)
        holders.submitDurable(holding, KeepMessage(holding.shardId, job, wait, despiteBacklog)) { outcome ->
            isInProgress = false
            if (!answered) onOutcome(holding, outcome)
        }
    }

    private fun onOutcome(
        holding: ShardHolding,
        outcome: KeepOutcome?,
    ) {
        when (outcome) {
            is KeepOutcome.Kept -> {
                answer(CallerAnswer.Stored)
            }

            is KeepOutcome.Refused -> {
                refusals[holding.shardId] = outcome
                // A holder that refuses may have stored the job after an earlier request all the same.
                if (isUnsure) askLater() else ask()
            }

            is KeepOutcome.Unsure -> {
                isUnsure = true
                unanswered++
                refusals.clear()
                askLater()
            }

            null -> {
                unanswered++
                refusals.remove(holding.shardId)
                askLater()
            }
        }
    }

    private fun openAnswer(reason: String): CallerAnswer =
        if (isUnsure ||
            isInProgress
        ) {
            CallerAnswer.GivenUp(reason)
        } else {
            CallerAnswer.NotRun(reason, NO_HOLDER_RETRY_MILLIS)
        }

    private fun answer(answer: CallerAnswer) {
        if (answered) return
        answered = true
        onAnswer(answer)
    }

    private companion object {
        /** Time for the answer to reach the caller before it gives up. */
        const val ANSWER_MARGIN_MILLIS = 30L

        /** Bounds the messages of a job that no failure domain can store. */
        const val MAX_HOLDERS = 4

        /** Longest wait for one holder, so that a silent one leaves time for another. */
        const val MAX_WAIT_MILLIS = 600L

        /** Time to wait for a holder; a take-over needs about as long. */
        const val PATIENCE_MILLIS = 700L
        const val RETRY_MILLIS = 30L
        const val NO_HOLDER_RETRY_MILLIS = 1_000L
    }
}
