package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.ControlLoop

/**
 * One request of a caller to store a durable job, until it is answered.
 *
 * Holders are tried in turn; the store key of the job's location ensures that only one of them stores it. After a
 * lost answer, the job is never refused: it is stored, or the caller is told that the outcome is unknown.
 */
internal class DurableSubmission(
    private val job: JobSpec,
    private val waitMillis: Long,
    private val loop: ControlLoop,
    private val client: DurableJobClient,
    private val onAnswer: (CallerAnswer) -> Unit,
) {
    private val startedAtMillis = loop.nowMillis()
    private val deadlineMillis = startedAtMillis + waitMillis
    private val refusals = LinkedHashMap<ShardId, PersistOutcome.Refused>()
    private var isOutcomeUnknown = false

    /** Number of requests without a usable answer; after each, the next holder is tried. */
    private var unanswered = 0

    private var isInProgress = false
    private var answered = false

    fun start() {
        loop.schedule(waitMillis - ANSWER_MARGIN_MILLIS) { answer(unresolvedAnswer("no answer of a holder")) }
        sendNext()
    }

    private fun sendNext() {
        if (answered) return
        val now = loop.nowMillis()
        val remaining = deadlineMillis - now - ANSWER_MARGIN_MILLIS
        val candidates = client.candidates(job)
        val open = candidates.filterNot { it.shardId in refusals }
        val leastBacklog =
            candidates
                .filter { refusals[it.shardId]?.backlogMillis != null }
                .minByOrNull { refusals[it.shardId]?.backlogMillis ?: Long.MAX_VALUE }
        val refusal = refusals.values.firstOrNull()
        when {
            remaining <= 0 -> answer(unresolvedAnswer("no answer of a holder"))
            open.isNotEmpty() && refusals.size < MAX_HOLDERS -> send(open[unanswered % open.size], remaining, false)
            leastBacklog != null -> send(leastBacklog, remaining, despiteBacklog = true)
            refusal != null && !isOutcomeUnknown ->
                answer(
                    CallerAnswer.NotRun(refusal.reason, refusal.retryAfterMillis),
                )
            !isOutcomeUnknown && now - startedAtMillis >= HOLDER_WAIT_MILLIS ->
                answer(unresolvedAnswer("no entry instance holds the targets"))
            else -> retryLater()
        }
    }

    private fun retryLater() = loop.schedule(RETRY_MILLIS, ::sendNext)

    private fun send(
        holding: ShardHolding,
        remainingMillis: Long,
        despiteBacklog: Boolean,
    ) {
        isInProgress = true
        val wait = minOf(remainingMillis, MAX_WAIT_MILLIS)
        client.persist(holding, PersistMessage(holding.shardId, job, wait, despiteBacklog)) { outcome ->
            isInProgress = false
            if (!answered) onOutcome(holding, outcome)
        }
    }

    private fun onOutcome(
        holding: ShardHolding,
        outcome: PersistOutcome?,
    ) {
        when (outcome) {
            is PersistOutcome.Persisted -> {
                answer(CallerAnswer.Stored)
            }

            is PersistOutcome.Refused -> {
                refusals[holding.shardId] = outcome
                // An earlier request may have stored the job, although this one was refused.
                if (isOutcomeUnknown) retryLater() else sendNext()
            }

            is PersistOutcome.Unknown -> {
                isOutcomeUnknown = true
                unanswered++
                refusals.clear()
                retryLater()
            }

            null -> {
                unanswered++
                refusals.remove(holding.shardId)
                retryLater()
            }
        }
    }

    private fun unresolvedAnswer(reason: String): CallerAnswer =
        if (isOutcomeUnknown ||
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
        /** Time for the answer to reach the caller before its timeout. */
        const val ANSWER_MARGIN_MILLIS = 30L

        /** Bounds the messages for a job that no failure domain can store. */
        const val MAX_HOLDERS = 4

        /** Longest wait for one holder, so that there is time to try another if it does not answer. */
        const val MAX_WAIT_MILLIS = 600L

        /** Time to wait until there is a holder; about the duration of a take-over. */
        const val HOLDER_WAIT_MILLIS = 700L
        const val RETRY_MILLIS = 30L
        const val NO_HOLDER_RETRY_MILLIS = 1_000L
    }
}
