package io.jackdawring.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Final answer to a request; each request gets exactly one. */
@Serializable
sealed interface Outcome {
    /** Every task succeeded; [results] are in task order. */
    @Serializable
    @SerialName("complete")
    data class Complete(
        val results: List<Payload>,
    ) : Outcome

    /**
     * The job failed for good.
     *
     * [taskIndex] is the first task that failed, null if no single task is the cause; [mayHaveRun] is false only if no
     * task of the job was started.
     */
    @Serializable
    @SerialName("failed")
    data class Failed(
        val reason: FailureReason,
        val taskIndex: Int?,
        val mayHaveRun: Boolean,
        val detail: String = "",
    ) : Outcome

    /** Nothing of this request was started; [retryAfterMillis] is null if a retry cannot succeed. */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val reason: RefusalReason,
        val retryAfterMillis: Long?,
        val detail: String = "",
    ) : Outcome

    /**
     * This instance cannot tell whether the submission ran, and did not start it for this request.
     *
     * [retryAfterMillis] is null if a resubmission cannot get a more definite answer.
     */
    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val reason: UnknownReason,
        val retryAfterMillis: Long? = null,
    ) : Outcome
}
