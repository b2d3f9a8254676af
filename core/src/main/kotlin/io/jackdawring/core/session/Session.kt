package io.jackdawring.core.session

import io.jackdawring.core.SessionId
import io.jackdawring.core.SubmissionId

/** A session that this incarnation owns; [expiresAtMillis] is in monotonic time. */
internal class Session(
    val id: SessionId,
    val expiresAtMillis: Long,
) {
    val records = HashMap<SubmissionId, SubmissionRecord>()
}
