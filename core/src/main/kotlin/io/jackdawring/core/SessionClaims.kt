package io.jackdawring.core

import kotlinx.serialization.Serializable

/** Contents of a session token; the driver signs it for callers and verifies it before use. */
@Serializable
data class SessionClaims(
    val sessionId: SessionId,
    val callerId: CallerId,
    val owner: Owner,
)
