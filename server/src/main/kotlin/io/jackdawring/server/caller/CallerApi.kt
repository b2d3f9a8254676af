package io.jackdawring.server.caller

import io.jackdawring.core.CallerId
import io.jackdawring.core.Credential
import io.jackdawring.core.Event
import io.jackdawring.core.Outcome
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.RequestId
import io.jackdawring.core.Submission
import io.jackdawring.core.SubmissionId
import io.jackdawring.core.UnknownReason
import io.jackdawring.core.submission
import io.jackdawring.server.control.ControlThread
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpHandler
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.problemResponse
import io.jackdawring.server.metrics.ServerMetrics
import io.jackdawring.server.metrics.ServiceKind
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.concurrent.atomic.AtomicLong

/** Serves callers: sessions, jobs and cancellations. */
internal class CallerApi(
    private val tokens: SessionTokens,
    private val metrics: ServerMetrics,
    private val control: () -> ControlThread,
) : HttpHandler {
    private val nextRequestId = AtomicLong(1)

    override fun handle(exchange: HttpExchange) {
        val request = exchange.request
        try {
            when {
                request.path == JOBS_PATH -> requireMethod(exchange, "POST") { submit(exchange) }
                request.path == SESSIONS_PATH -> requireMethod(exchange, "POST") { openSession(exchange) }
                request.path.startsWith(JOB_PREFIX) -> requireMethod(exchange, "DELETE") { cancel(exchange) }
                else -> exchange.respond(problemResponse(404, "not-found", "there is no such path"))
            }
        } catch (invalid: InvalidRequest) {
            metrics.invalidRequest()
            exchange.respond(problemResponse(invalid.status, "invalid", invalid.message))
        }
    }

    private inline fun requireMethod(
        exchange: HttpExchange,
        method: String,
        action: () -> Unit,
    ) {
        if (exchange.request.method == method) return action()
        val detail = "${exchange.request.path.excerpt()} accepts only $method"
        exchange.respond(problemResponse(405, "method-not-allowed", detail))
    }

    private fun openSession(exchange: HttpExchange) {
        val body =
            try {
                Json.decodeFromString(SessionRequest.serializer(), exchange.request.body.decodeToString())
            } catch (_: SerializationException) {
                throw InvalidRequest("the body must be a JSON object with the one field \"caller\"")
            }
        val requestId = RequestId(nextRequestId.getAndIncrement())
        val request = CallerRequest(requestId, exchange, null, tokens, metrics)
        offer(exchange, Event.OpenSession(requestId, CallerId(validCallerId(body.caller))), request)
    }

    private fun submit(exchange: HttpExchange) {
        val message = exchange.request
        val job = JobRequestParser(message.body).parse()
        val credential = credential(message, job.caller) ?: return respondUnknownKey(exchange)
        val id = validSubmissionId(message.header("idempotency-key"), credential is Credential.Session)
        val requestId = RequestId(nextRequestId.getAndIncrement())
        val request = CallerRequest(requestId, exchange, ServiceKind(job.service, job.kind), tokens, metrics)
        val submission = submissionOf(id, credential, job, isFirstAttempt(message.header("jackdaw-attempt")))
        val rejection = if (submission.firstAttempt) QUEUE_FULL else QUEUE_FULL_OUTCOME_UNKNOWN
        if (!offer(exchange, Event.Submit(requestId, submission), request, rejection)) return
        exchange.onDisconnected { control().add(Event.CallerDisconnected(requestId)) }
    }

    private fun submissionOf(
        id: String,
        credential: Credential,
        job: JobRequest,
        firstAttempt: Boolean,
    ): Submission =
        submission(SubmissionId(id), credential) {
            service = job.service
            kind = job.kind
            deadlineMillis = job.deadlineMillis
            fingerprint = job.fingerprint
            this.firstAttempt = firstAttempt
            tasks(job.tasks)
        }

    private fun cancel(exchange: HttpExchange) {
        val message = exchange.request
        val credential = credential(message, message.query["caller"]) ?: return respondUnknownKey(exchange)
        val id = validSubmissionId(message.path.removePrefix(JOB_PREFIX), credential is Credential.Session)
        if (offer(exchange, Event.Cancel(SubmissionId(id), credential), null)) exchange.respond(ACCEPTED)
    }

    /** The credential of a request; null if the session token is signed with a key that this instance does not have. */
    private fun credential(
        message: HttpRequestMessage,
        caller: String?,
    ): Credential? {
        val token = message.header("jackdaw-session")
        if (token == null) {
            val callerId = caller ?: throw InvalidRequest("\"caller\" is missing; it is needed without a session")
            return Credential.IdempotencyKey(CallerId(validCallerId(callerId)))
        }
        return when (val verification = tokens.verify(token)) {
            is SessionTokens.Verification.Valid -> sessionCredential(verification, caller)
            SessionTokens.Verification.UnknownKey -> null
            SessionTokens.Verification.Invalid -> throw InvalidRequest("header Jackdaw-Session is not a valid token")
        }
    }

    private fun sessionCredential(
        verification: SessionTokens.Verification.Valid,
        caller: String?,
    ): Credential {
        val sessionCaller = verification.claims.callerId.value
        if (caller != null && caller != sessionCaller) {
            throw InvalidRequest("\"caller\" is \"${caller.excerpt()}\", but the session belongs to another caller")
        }
        return Credential.Session(verification.claims)
    }

    /** An earlier attempt may have run through an instance that has the key, so the outcome is unknown, not refused. */
    private fun respondUnknownKey(exchange: HttpExchange) =
        exchange.respond(responseOf(Outcome.Unknown(UnknownReason.SESSION_ENDED)))

    private fun offer(
        exchange: HttpExchange,
        event: Event,
        request: CallerRequest?,
        rejection: HttpResponseMessage = QUEUE_FULL,
    ): Boolean {
        if (control().offerRequest(event, request)) return true
        metrics.requestRefusedByQueue()
        exchange.respond(rejection)
        return false
    }

    @Serializable
    private class SessionRequest(
        val caller: String,
    )

    private companion object {
        const val SESSIONS_PATH = "/v1/sessions"
        const val JOBS_PATH = "/v1/jobs"
        const val JOB_PREFIX = "/v1/jobs/"
        val ACCEPTED = HttpResponseMessage(202)

        /** 503 rather than the 429 of overload, because the decision logic never saw the request. */
        val QUEUE_FULL =
            problemResponse(
                status = 503,
                name = RefusalReason.OVERLOADED.problemName(),
                detail = "the control queue is full; nothing of the request was run",
                retryAfterMillis = 1_000,
            )

        /** The decision logic never saw the submission id, so an earlier attempt under it may be running. */
        val QUEUE_FULL_OUTCOME_UNKNOWN =
            problemResponse(
                status = 504,
                name = RefusalReason.OVERLOADED.problemName(),
                detail = "the control queue is full; an earlier request with this id may have run",
                outcome = "unknown",
                mayHaveRun = true,
                retryAfterMillis = 1_000,
            )
    }
}
