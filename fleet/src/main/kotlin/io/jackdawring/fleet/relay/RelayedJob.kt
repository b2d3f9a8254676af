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
 * The job is sent to its shard in the local failure domain. If that one expects it to wait for long, it is offered to
 * less loaded failure domains; if all expect that, the one that expects it first may serve it all the same. A shard that
 * refuses a job has run nothing of it. A shard that may have run some of it is retried until it answers.
 */
internal class RelayedJob(
    private val job: JobSpec,
    waitMillis: Long,
    private val loop: ControlLoop,
    private val shards: ShardClient,
    private val onRefusedAsEvacuated: () -> Unit,
    private val onAnswer: (answer: CallerAnswer, ageMillis: Long) -> Unit,
) {
    private val arrivedAtMillis = loop.nowMillis()
    private val deadlineMillis = arrivedAtMillis + waitMillis
    private var pendingRequest: ShardClient.PendingRequest? = null
    private var requestNumber = 0

    /** Shards that have refused the job. */
    private val refusals = LinkedHashMap<ShardId, JobOutcome.NotRun>()

    /** Shards that have refused the job because their failure domain is evacuated. */
    private val evacuated = LinkedHashSet<ShardId>()

    /** Shard that accepted the job or may have; null while there is none. */
    private var acceptedBy: ShardId? = null

    /** Fencing token of the first holder of [acceptedBy] that may have started tasks; 0 while there is none. */
    private var firstFencingToken = 0L
    private var lastAdmission = Admission.EARLY
    private var ended = false

    fun start() = sendNext()

    /** Cancels the job, because its caller has disconnected. */
    fun cancel() {
        if (!ended) logDisconnected()
        ended = true
        pendingRequest?.cancel()
    }

    private fun logDisconnected() =
        logger.atInfo {
            message = "caller disconnected"
            payload =
                mapOf(
                    "job" to job.id.value,
                    "ageMillis" to loop.nowMillis() - arrivedAtMillis,
                    "takenBy" to acceptedBy?.failureDomain?.value.orEmpty(),
                    "firstFencingToken" to firstFencingToken,
                )
        }

    private fun sendNext() {
        if (ended) return
        val now = loop.nowMillis()
        val holding = nextHolder()
        when {
            holding != null -> sendTo(holding, nextAdmission(), now)
            acceptedBy == null && refusals.isEmpty() && shards.areAllEvacuated(evacuated) -> refuseAsEvacuated()
            now >= deadlineMillis -> answer(unservedAnswer("no holder until the caller's deadline"))
            acceptedBy == null && refusals.isNotEmpty() -> sendLastOffer(now)
            acceptedBy == null && now - arrivedAtMillis > job.objectiveMillis / HOLDER_WAIT_DIVISOR ->
                answer(
                    unservedAnswer("no entry instance holds the targets"),
                )
            else -> loop.schedule(RETRY_MILLIS, ::sendNext)
        }
    }

    private fun nextHolder(): ShardHolding? {
        acceptedBy?.let { return shards.findHolding(it) }
        val local = if (shards.isLocalEvacuated) null else shards.findLocalHolder(job)
        if (local != null && local.shardId !in refusals && local.shardId !in evacuated) return local
        return nextOther()
    }

    private fun nextOther(): ShardHolding? {
        if (refusals.size > MAX_OTHER_SHARDS) return null
        val isLocalOut = shards.isLocalEvacuated || shards.findLocalHolder(job)?.let { it.shardId in evacuated } == true
        val others = if (isLocalOut) shards.findOtherHolders(job) else shards.findLessLoadedHolders(job)
        return others.firstOrNull { it.shardId !in refusals && it.shardId !in evacuated }
    }

    /** A shard is asked to serve the job early as long as there is another one that may do so instead. */
    private fun nextAdmission(): Admission {
        val hasOthers = acceptedBy == null && (refusals.isNotEmpty() || nextOther() != null)
        return if (hasOthers) Admission.EARLY else Admission.ON_TIME_OR_LATE
    }

    /** Asks the shard with the earliest forecast to serve the job, although it has to wait there. */
    private fun sendLastOffer(now: Long) {
        val holding =
            refusals.entries
                .filter { it.value.lateMillis != null && !shards.isEvacuated(it.key) }
                .sortedBy { it.value.lateMillis }
                .firstNotNullOfOrNull { shards.findHolding(it.key) }
        if (lastAdmission == Admission.EARLY && holding != null) {
            sendTo(holding, Admission.ON_TIME_OR_LATE, now)
        } else {
            answer(refusedAnswer(refusals.values.first().reason))
        }
    }

    private fun sendTo(
        holding: ShardHolding,
        admission: Admission,
        now: Long,
    ) {
        lastAdmission = admission
        val number = ++requestNumber
        val previous = pendingRequest
        val remainingMillis = maxOf(1, deadlineMillis - now)
        val message = JobRequest(job, remainingMillis, admission, acceptedBy != null, firstFencingToken)
        val request = shards.submit(holding, message) { if (number == requestNumber) onReply(holding, it) }
        // A holder in this process may reply during the call, after which a later request is pending.
        if (number == requestNumber) pendingRequest = request
        // Cancelled after the new request is sent, because a holder drops a job that no request waits for.
        previous?.cancel()
        loop.schedule(RESEND_MILLIS) { if (number == requestNumber && !ended) resend(holding) }
    }

    /** Records that [holding] may have started tasks of the job. */
    private fun onMayRun(holding: ShardHolding) {
        if (acceptedBy == null) firstFencingToken = holding.revision
        acceptedBy = holding.shardId
    }

    /** Sends the job again, because its connection may be broken; a holder answers every request for the same job. */
    private fun resend(holding: ShardHolding) {
        onMayRun(holding)
        if (loop.nowMillis() <
            deadlineMillis + ANSWER_SLACK_MILLIS
        ) {
            sendNext()
        } else {
            answer(unservedAnswer("no answer of the holder"))
        }
    }

    private fun onReply(
        holding: ShardHolding,
        reply: HolderReply,
    ) {
        if (ended) return
        pendingRequest = null
        requestNumber++
        when (reply) {
            is HolderReply.Decided -> {
                onDecided(holding, reply.outcome)
            }

            is HolderReply.NotAccepted -> {
                loop.schedule(RETRY_MILLIS, ::sendNext)
            }

            is HolderReply.Lost -> {
                onMayRun(holding)
                loop.schedule(RETRY_MILLIS, ::sendNext)
            }
        }
    }

    private fun onDecided(
        holding: ShardHolding,
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
                onRefused(holding, outcome)
            }

            is JobOutcome.Moved -> {
                onMayRun(holding)
                loop.schedule(MOVED_RETRY_MILLIS, ::sendNext)
            }
        }
    }

    private fun onRefused(
        holding: ShardHolding,
        refusal: JobOutcome.NotRun,
    ) {
        val shardId = holding.shardId
        // The first holder that may have run the job knows that it has not.
        val hasNotRun = acceptedBy == null || refusal.isEvacuated && holding.revision == firstFencingToken
        when {
            refusal.isEvacuated && hasNotRun -> {
                onEvacuated(shardId)
            }

            acceptedBy != null -> {
                answer(unservedAnswer(refusal.reason))
            }

            lastAdmission == Admission.ON_TIME_OR_LATE -> {
                refusals[shardId] = refusal
                answer(refusedAnswer(refusal.reason))
            }

            else -> {
                refusals[shardId] = refusal
                sendNext()
            }
        }
    }

    /** Continues with other failure domains; the refusal does not count as the answer to one of the offers. */
    private fun onEvacuated(shardId: ShardId) {
        acceptedBy = null
        firstFencingToken = 0
        lastAdmission = Admission.EARLY
        refusals.remove(shardId)
        evacuated.add(shardId)
        sendNext()
    }

    private fun refuseAsEvacuated() {
        onRefusedAsEvacuated()
        answer(CallerAnswer.NotRun("all failure domains are evacuated", EVACUATED_RETRY_MILLIS))
    }

    /** Answer after all refusals, with the earliest time at which one of the shards has room. */
    private fun refusedAnswer(reason: String): CallerAnswer {
        // A shard that cannot run the job now knows of no time, unless no shard can.
        val able = refusals.values.filter { it.lateMillis != null }.ifEmpty { refusals.values }
        return CallerAnswer.NotRun(reason, able.minOf { it.retryAfterMillis })
    }

    private fun unservedAnswer(reason: String): CallerAnswer =
        if (acceptedBy != null) CallerAnswer.GivenUp(reason) else CallerAnswer.NotRun(reason, NO_HOLDER_RETRY_MILLIS)

    private fun answer(answer: CallerAnswer) {
        if (ended) return
        ended = true
        pendingRequest?.cancel()
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
                    "retryAfterMillis" to ((answer as? CallerAnswer.NotRun)?.retryAfterMillis ?: 0),
                    "refusedBy" to (refusals.keys + evacuated).joinToString { it.failureDomain.value },
                    "takenBy" to acceptedBy?.failureDomain?.value.orEmpty(),
                )
        }
    }

    private companion object {
        /** Retry interval; short compared with the shortest latency objective. */
        const val RETRY_MILLIS = 15L

        /** Time for the new holder to list its targets. */
        const val MOVED_RETRY_MILLIS = 10L

        /** A job that has not run waits for a holder for at most its latency objective divided by this. */
        const val HOLDER_WAIT_DIVISOR = 8

        /** Bounds the messages for a job that no failure domain can run in time. */
        const val MAX_OTHER_SHARDS = 2

        /** About the duration of a take-over. */
        const val NO_HOLDER_RETRY_MILLIS = 1_000L

        /** Nothing is known of the time at which a failure domain returns to service. */
        const val EVACUATED_RETRY_MILLIS = 5_000L

        /** Bounds the delay by a broken connection; most jobs end earlier. */
        const val RESEND_MILLIS = 700L

        /** Network latency of an answer that the holder sends at the deadline. */
        const val ANSWER_SLACK_MILLIS = 50L
    }
}
