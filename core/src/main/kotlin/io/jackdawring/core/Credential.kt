package io.jackdawring.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identifies the caller of a submission and the scope in which its [SubmissionId] is unique. */
@Serializable
sealed interface Credential {
    /** The caller on whose behalf the submission runs. */
    val callerId: CallerId

    /** Scope within which submission ids are unique across all instances. */
    val scope: String

    /** A submission in a session; only the owner of the session starts it. */
    @Serializable
    @SerialName("session")
    data class Session(
        val claims: SessionClaims,
    ) : Credential {
        override val callerId: CallerId get() = claims.callerId
        override val scope: String get() = sessionScope(claims.owner, claims.sessionId)
    }

    /** A submission without a session; its id is a UUIDv7, and the instance that claims it in the store starts it. */
    @Serializable
    @SerialName("idempotencyKey")
    data class IdempotencyKey(
        override val callerId: CallerId,
    ) : Credential {
        override val scope: String get() = "c/${callerId.value}"
    }
}

/** [Credential.scope] of a session of [owner]. */
internal fun sessionScope(
    owner: Owner,
    sessionId: SessionId,
): String = "s/${owner.instanceId.value}/${owner.incarnation}/${sessionId.value}"
