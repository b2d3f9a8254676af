package io.jackdawring.testing

import io.jackdawring.core.CallerId
import io.jackdawring.core.Credential
import io.jackdawring.core.Outcome
import io.jackdawring.core.Payload
import io.jackdawring.core.SessionClaims
import io.jackdawring.core.Submission
import io.jackdawring.core.SubmissionId
import io.jackdawring.core.TaskSpec
import io.jackdawring.core.submission

/** A caller that submits jobs to instances of a [FakeCluster] and records the answers. */
class FakeCaller(
    private val cluster: FakeCluster,
    private val callerId: CallerId = CallerId("house-1"),
) {
    private var lastId = 0

    /** Opens a session at [instance]. */
    fun openSession(instance: FakeInstance): Credential.Session {
        var claims: SessionClaims? = null
        instance.openSession(callerId) { claims = it }
        return Credential.Session(checkNotNull(claims) { "${instance.owner.instanceId.value} refused the session" })
    }

    /** A new submission of [tasks] tasks in the session of [credential]. */
    fun newSubmission(
        credential: Credential.Session,
        tasks: Int = 1,
        change: Submission.Builder.() -> Unit = {},
    ): Submission = newSubmission(SubmissionId("submission-${++lastId}"), credential, tasks, change)

    /** A new submission of [tasks] tasks with an idempotency key of the current time. */
    fun newSubmissionWithKey(
        tasks: Int = 1,
        change: Submission.Builder.() -> Unit = {},
    ): Submission {
        val id = SubmissionId(uuidV7(cluster.clock.nowMillis, ++lastId))
        return newSubmission(id, Credential.IdempotencyKey(callerId), tasks, change)
    }

    /** Sends [submission] to [instance]; the answer arrives while the virtual time advances. */
    fun submit(
        instance: FakeInstance,
        submission: Submission,
    ): SentRequest {
        val name = Oracle.submissionName(submission.credential.scope, submission.id.value)
        val tag = "request at ${instance.owner.instanceId.value}, ${cluster.clock.nowMillis} ms of $name"
        val request = SentRequest(cluster.clock.nowMillis)
        cluster.oracle.requested(name, tag, submission.tasks.size)
        instance.submit(
            submission,
            onAnswer = {
                request.outcome = it
                request.answeredAfterMillis = cluster.clock.nowMillis - request.sentAtMillis
                cluster.oracle.answered(name, tag, it)
            },
            onDisconnected = {
                request.disconnected = true
                cluster.oracle.disconnected(name, tag)
            },
        )
        return request
    }

    private fun newSubmission(
        id: SubmissionId,
        credential: Credential,
        tasks: Int,
        change: Submission.Builder.() -> Unit,
    ): Submission =
        submission(id, credential) {
            service = TestConfiguration.SERVICE
            kind = TestConfiguration.KINDS.first()
            fingerprint = id.value
            tasks(List(tasks) { TaskSpec(Payload.of("$it")) })
            change()
        }
}

/** A request and its outcome; times are virtual. */
class SentRequest(
    val sentAtMillis: Long,
) {
    var outcome: Outcome? = null
        internal set
    var answeredAfterMillis: Long? = null
        internal set
    var disconnected: Boolean = false
        internal set
}
