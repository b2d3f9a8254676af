package io.jackdawring.core

import kotlinx.serialization.Serializable

/** Identifies one task; [scope] is the [Credential.scope] of its submission. */
@Serializable
data class TaskReference(
    val scope: String,
    val submissionId: SubmissionId,
    val taskIndex: Int,
) {
    override fun toString(): String = "$scope/${submissionId.value}/$taskIndex"
}
