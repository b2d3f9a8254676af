package io.jackdawring.fleet.relay

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.ControlLoop

/** Passes jobs of callers on to the holder of their shard; belongs to the control thread. */
internal class JobRelay(
    private val loop: ControlLoop,
    private val shards: ShardAccess,
) {
    /** Submits [job] for a caller that waits [waitMillis]; [onAnswer] is called at most once. */
    fun submit(
        job: JobSpec,
        waitMillis: Long,
        onAnswer: (CallerAnswer) -> Unit,
    ): RelayedJob = RelayedJob(job, waitMillis, loop, shards, onAnswer).also { it.start() }
}

/** Finds and asks the holder of a job's shard. */
internal interface ShardAccess {
    /** The holder to ask about [job], or null while none is known to work. */
    fun findHolder(job: JobSpec): ShardHolding?

    /** Asks the holder in [holding]; [onReply] is called at most once. */
    fun ask(
        holding: ShardHolding,
        job: JobSpec,
        remainingMillis: Long,
        onReply: (HolderReply) -> Unit,
    ): OpenQuestion

    /** A question to a holder that may be taken back. */
    fun interface OpenQuestion {
        fun cancel()
    }
}

/** Reply of a holder. */
internal sealed interface HolderReply {
    class Decided(
        val outcome: JobOutcome,
    ) : HolderReply

    /** The holder has not taken the job, for example because it is no longer the holder. */
    data object NotTaken : HolderReply

    /** The holder may have taken the job, and its answer is lost. */
    class Lost(
        val detail: String,
    ) : HolderReply
}

/** One job of a caller until it is answered. */
internal class RelayedJob(
    private val job: JobSpec,
    waitMillis: Long,
    private val loop: ControlLoop,
    private val shards: ShardAccess,
    private val onAnswer: (CallerAnswer) -> Unit,
) {
    private val arrivedAtMillis = loop.nowMillis()
    private val deadlineMillis = arrivedAtMillis + waitMillis
    private var question: ShardAccess.OpenQuestion? = null
    private var questionNumber = 0

    /** Whether a holder may have started tasks of the job. */
    private var mayHaveRun = false
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
        val holding = shards.findHolder(job)
        when {
            holding != null -> {
                askHolder(holding, now)
            }

            now >= deadlineMillis -> {
                answer(giveUp("no holder until the caller's deadline"))
            }

            !mayHaveRun && now - arrivedAtMillis > job.objectiveMillis / PATIENCE_SHARE -> {
                answer(CallerAnswer.NotRun("no entry instance holds the targets", NO_HOLDER_RETRY_MILLIS))
            }

            else -> {
                loop.schedule(RETRY_MILLIS, ::ask)
            }
        }
    }

    private fun askHolder(
        holding: ShardHolding,
        now: Long,
    ) {
        val number = ++questionNumber
        val previous = question
        question =
            shards.ask(holding, job, maxOf(1, deadlineMillis - now)) { if (number == questionNumber) onReply(it) }
        // Cancelled after the new question is sent, so that the holder always has one for a job in progress.
        previous?.cancel()
        loop.schedule(ASK_AGAIN_MILLIS) { if (number == questionNumber && !ended) askAgain() }
    }

    /** The connection of the question may have gone silent; the holder answers every question about a job. */
    private fun askAgain() {
        mayHaveRun = true
        if (loop.nowMillis() <
            deadlineMillis + ANSWER_SLACK_MILLIS
        ) {
            ask()
        } else {
            answer(giveUp("no answer of the holder"))
        }
    }

    private fun onReply(reply: HolderReply) {
        if (ended) return
        question = null
        when (reply) {
            is HolderReply.Decided -> {
                onDecided(reply.outcome)
            }

            is HolderReply.NotTaken -> {
                loop.schedule(RETRY_MILLIS, ::ask)
            }

            is HolderReply.Lost -> {
                mayHaveRun = true
                loop.schedule(RETRY_MILLIS, ::ask)
            }
        }
    }

    private fun onDecided(outcome: JobOutcome) {
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
                answer(
                    if (mayHaveRun) {
                        giveUp(
                            outcome.reason,
                        )
                    } else {
                        CallerAnswer.NotRun(outcome.reason, outcome.retryAfterMillis)
                    },
                )
            }

            is JobOutcome.Moved -> {
                mayHaveRun = true
                loop.schedule(MOVED_RETRY_MILLIS, ::ask)
            }
        }
    }

    private fun giveUp(reason: String): CallerAnswer =
        if (mayHaveRun) CallerAnswer.GivenUp(reason) else CallerAnswer.NotRun(reason, NO_HOLDER_RETRY_MILLIS)

    private fun answer(answer: CallerAnswer) {
        if (ended) return
        ended = true
        question?.cancel()
        onAnswer(answer)
    }

    private companion object {
        /** Interval of looking for a holder; short against the shortest latency objective. */
        const val RETRY_MILLIS = 15L

        /** Time for the new holder to list its targets. */
        const val MOVED_RETRY_MILLIS = 10L

        /** A job that has not run waits for a holder at most this share of its latency objective. */
        const val PATIENCE_SHARE = 4

        /** About the time that a take-over needs. */
        const val NO_HOLDER_RETRY_MILLIS = 1_000L

        /** Bounds how long a silent connection hides an answer; most jobs end before it. */
        const val ASK_AGAIN_MILLIS = 700L

        /** The holder answers at the deadline itself; this covers the way back. */
        const val ANSWER_SLACK_MILLIS = 50L
    }
}
