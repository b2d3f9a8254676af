package io.jackdawring.fleet.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.ControlLoop

private val logger = KotlinLogging.logger("io.jackdawring.relay")

/**
 * One job of a caller until it is answered.
 *
 * The job goes to its shard in the own failure domain. A shard that refuses it has run nothing of it, so that other
 * failure domains are asked next; a shard that may have run some of it is asked again until it answers.
 */
internal class RelayedJob(
    private val job: JobSpec,
    waitMillis: Long,
    private val loop: ControlLoop,
    private val shards: ShardAccess,
    private val onAnswer: (answer: CallerAnswer, ageMillis: Long) -> Unit,
) {
    private val arrivedAtMillis = loop.nowMillis()
    private val deadlineMillis = arrivedAtMillis + waitMillis
    private var question: ShardAccess.OpenQuestion? = null
    private var questionNumber = 0

    /** Shards that have refused the job. */
    private val refusals = LinkedHashMap<ShardId, JobOutcome.NotRun>()

    /** Shard that took the job or may have; null while none has. */
    private var takenBy: ShardId? = null
    private var admission = Admission.ON_TIME
    private var ended = false

    fun start() = ask()

    /** Takes the job back; its caller is gone. */
    fun cancel() {
        ended = true
        question?.cancel()
    }

    private fun ask() {
        if (ended) return
        val now = loop.nowMillis()
        val holding = nextHolder()
        when {
            holding != null -> askHolder(holding, now)
            now >= deadlineMillis -> answer(giveUp("no holder until the caller's deadline"))
            takenBy == null && refusals.isNotEmpty() -> askForRoom(now)
            takenBy == null && now - arrivedAtMillis > job.objectiveMillis / PATIENCE_SHARE ->
                answer(
                    giveUp("no entry instance holds the targets"),
                )
            else -> loop.schedule(RETRY_MILLIS, ::ask)
        }
    }

    private fun nextHolder(): ShardHolding? {
        takenBy?.let { return shards.findHolding(it) }
        val own = shards.findHolder(job)
        if (own != null && own.shardId !in refusals) return own
        if (refusals.size > OTHER_SHARDS) return null
        return shards.findLighterHolders(job).firstOrNull { it.shardId !in refusals }
    }

    /** All shards expect the job to be late; one that has room now may take it all the same. */
    private fun askForRoom(now: Long) {
        val withRoom = refusals.entries.firstOrNull { it.value.hasRoom }?.key
        val holding = withRoom?.let(shards::findHolding)
        if (admission == Admission.ON_TIME && holding != null) {
            admission = Admission.ON_TIME_OR_ROOM
            askHolder(holding, now)
        } else {
            val refusal = refusals.values.first()
            answer(CallerAnswer.NotRun(refusal.reason, refusal.retryAfterMillis))
        }
    }

    private fun askHolder(
        holding: ShardHolding,
        now: Long,
    ) {
        val number = ++questionNumber
        val previous = question
        question =
            shards.ask(holding, JobRequest(job, maxOf(1, deadlineMillis - now), admission, takenBy != null)) {
                if (number == questionNumber) onReply(holding.shardId, it)
            }
        // Cancelled after the new question is sent, so that the holder always has one for a job in progress.
        previous?.cancel()
        loop.schedule(ASK_AGAIN_MILLIS) { if (number == questionNumber && !ended) askAgain(holding.shardId) }
    }

    /** The connection of the question may have gone silent; the holder answers every question about a job. */
    private fun askAgain(asked: ShardId) {
        takenBy = asked
        if (loop.nowMillis() <
            deadlineMillis + ANSWER_SLACK_MILLIS
        ) {
            ask()
        } else {
            answer(giveUp("no answer of the holder"))
        }
    }

    private fun onReply(
        asked: ShardId,
        reply: HolderReply,
    ) {
        if (ended) return
        question = null
        questionNumber++
        when (reply) {
            is HolderReply.Decided -> {
                onDecided(asked, reply.outcome)
            }

            is HolderReply.NotTaken -> {
                loop.schedule(RETRY_MILLIS, ::ask)
            }

            is HolderReply.Lost -> {
                takenBy = asked
                loop.schedule(RETRY_MILLIS, ::ask)
            }
        }
    }

    private fun onDecided(
        asked: ShardId,
        outcome: JobOutcome,
    ) {
        when (outcome) {
            is JobOutcome.Completed -> {
                answer(CallerAnswer.Ended(completed = true))
            }

            is JobOutcome.Failed -> {
                answer(CallerAnswer.Ended(completed = false))
            }

            is JobOutcome.GivenUp -> {
                answer(CallerAnswer.GivenUp(outcome.reason))
            }

            is JobOutcome.NotRun -> {
                onRefused(asked, outcome)
            }

            is JobOutcome.Moved -> {
                takenBy = asked
                loop.schedule(MOVED_RETRY_MILLIS, ::ask)
            }
        }
    }

    private fun onRefused(
        asked: ShardId,
        refusal: JobOutcome.NotRun,
    ) {
        when {
            takenBy != null -> {
                answer(giveUp(refusal.reason))
            }

            admission == Admission.ON_TIME_OR_ROOM -> {
                answer(CallerAnswer.NotRun(refusal.reason, refusal.retryAfterMillis))
            }

            else -> {
                refusals[asked] = refusal
                ask()
            }
        }
    }

    private fun giveUp(reason: String): CallerAnswer =
        if (takenBy != null) CallerAnswer.GivenUp(reason) else CallerAnswer.NotRun(reason, NO_HOLDER_RETRY_MILLIS)

    private fun answer(answer: CallerAnswer) {
        if (ended) return
        ended = true
        question?.cancel()
        val age = loop.nowMillis() - arrivedAtMillis
        logUnserved(answer, age)
        onAnswer(answer, age)
    }

    private fun logUnserved(
        answer: CallerAnswer,
        ageMillis: Long,
    ) {
        val (outcome, reason) =
            when (answer) {
                is CallerAnswer.NotRun -> "not-run" to answer.reason
                is CallerAnswer.GivenUp -> "given-up" to answer.reason
                else -> return
            }
        logger.atInfo {
            message = "job not served"
            payload =
                mapOf(
                    "job" to job.id.value,
                    "queue" to job.queue,
                    "outcome" to outcome,
                    "reason" to reason,
                    "ageMillis" to ageMillis,
                    "objectiveMillis" to job.objectiveMillis,
                    "refusedBy" to refusals.keys.joinToString { it.failureDomain.value },
                    "takenBy" to takenBy?.failureDomain?.value.orEmpty(),
                )
        }
    }

    private companion object {
        /** Interval of looking for a holder; short against the shortest latency objective. */
        const val RETRY_MILLIS = 15L

        /** Time for the new holder to list its targets. */
        const val MOVED_RETRY_MILLIS = 10L

        /** A job that has not run waits for a holder at most this share of its latency objective. */
        const val PATIENCE_SHARE = 8

        /** Bounds the messages of a job that no failure domain can take in time. */
        const val OTHER_SHARDS = 2

        /** About the time that a take-over needs. */
        const val NO_HOLDER_RETRY_MILLIS = 1_000L

        /** Bounds how long a silent connection hides an answer; most jobs end before it. */
        const val ASK_AGAIN_MILLIS = 700L

        /** The holder answers at the deadline itself; this covers the way back. */
        const val ANSWER_SLACK_MILLIS = 50L
    }
}
