package io.jackdawring.core.forward

import io.jackdawring.core.EffectEmitter
import io.jackdawring.core.Outcome
import io.jackdawring.core.Owner
import io.jackdawring.core.ReplyTo
import io.jackdawring.core.RequestId
import io.jackdawring.core.Submission
import io.jackdawring.core.UnknownReason
import io.jackdawring.core.membership.PeerMessage
import java.util.TreeSet

/** Forwards submissions to their owners and answers the callers with the outcomes, or that these are unknown. */
internal class Forwarder(
    private val self: Owner,
    private val emitter: EffectEmitter,
) {
    private val pending = HashMap<Long, PendingForward>()
    private val timeouts = TreeSet<PendingForward>(compareBy({ it.timeoutAtMillis }, { it.correlation }))
    private var lastCorrelation = 0L

    val pendingForwards: Int get() = pending.size

    /** Sends [submission] to [owner], which owns it or holds the finished records of its owner. */
    fun forward(
        owner: Owner,
        submission: Submission,
        requestId: RequestId,
        nowMillis: Long,
    ) {
        val correlation = ++lastCorrelation
        val timeoutAtMillis = nowMillis + submission.deadlineMillis + ANSWER_MARGIN_MILLIS
        val forward = PendingForward(correlation, requestId, owner, timeoutAtMillis)
        pending[correlation] = forward
        timeouts.add(forward)
        emitter.send(owner, submission.toMessage(correlation))
    }

    fun onAnswer(answer: PeerMessage.ForwardAnswer) {
        val forward = pending[answer.correlation] ?: return
        if (forward.owner == answer.sender) finish(forward, answer.outcome)
    }

    /** Answers the caller at once, because the owner did not acknowledge the message. */
    fun onSendFailed(message: PeerMessage.ForwardSubmission) {
        pending[message.correlation]?.let { finish(it, UNREACHABLE) }
    }

    /** Answers all pending forwards to owners for which [isReachable] is false. */
    fun answerUnreachable(isReachable: (Owner) -> Boolean) {
        pending.values.filterNot { isReachable(it.owner) }.forEach { finish(it, UNREACHABLE) }
    }

    fun callerDisconnected(requestId: RequestId) {
        val forward = pending.values.firstOrNull { it.requestId == requestId } ?: return
        remove(forward)
    }

    fun nextTimerMillis(): Long? = if (timeouts.isEmpty()) null else timeouts.first().timeoutAtMillis

    fun onTimer(nowMillis: Long) {
        while (timeouts.isNotEmpty() && timeouts.first().timeoutAtMillis <= nowMillis) {
            finish(timeouts.first(), UNREACHABLE)
        }
    }

    private fun finish(
        forward: PendingForward,
        outcome: Outcome,
    ) {
        remove(forward)
        emitter.reply(ReplyTo.Caller(forward.requestId), outcome)
    }

    private fun remove(forward: PendingForward) {
        pending.remove(forward.correlation)
        timeouts.remove(forward)
    }

    private fun Submission.toMessage(correlation: Long): PeerMessage.ForwardSubmission =
        PeerMessage.ForwardSubmission(
            sender = self,
            correlation = correlation,
            id = id,
            credential = credential,
            service = service,
            kind = kind,
            deadlineMillis = deadlineMillis,
            fingerprint = fingerprint,
            tasks = tasks,
        )

    private class PendingForward(
        val correlation: Long,
        val requestId: RequestId,
        val owner: Owner,
        val timeoutAtMillis: Long,
    )

    private companion object {
        // The owner answers at the deadline at the latest; the margin covers the network round trip.
        const val ANSWER_MARGIN_MILLIS = 250L
        val UNREACHABLE = Outcome.Unknown(UnknownReason.OWNER_UNREACHABLE, retryAfterMillis = 1_000)
    }
}

/** Converts the message to the submission that it carries. */
internal fun PeerMessage.ForwardSubmission.toSubmission(): Submission {
    val message = this
    return io.jackdawring.core.submission(id, credential) {
        service = message.service
        kind = message.kind
        deadlineMillis = message.deadlineMillis
        fingerprint = message.fingerprint
        tasks(message.tasks)
    }
}
