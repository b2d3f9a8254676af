package io.jackdawring.server.control

import io.jackdawring.core.Outcome
import io.jackdawring.core.RequestId
import io.jackdawring.core.SessionClaims

/** A caller's request that waits for the decision logic. */
internal interface OpenRequest {
    val requestId: RequestId

    fun answer(outcome: Outcome)

    fun grantSession(
        claims: SessionClaims,
        expiresInMillis: Long,
    )
}
