package io.jackdawring.fleet.kept

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a holder did with a job that must be kept. */
@Serializable
internal sealed interface KeepOutcome {
    /** The job is stored, now or by an earlier request. */
    @Serializable
    @SerialName("kept")
    data object Kept : KeepOutcome

    /**
     * The job is not stored and will not be; the caller may come back after [retryAfterMillis].
     *
     * If the reason is a backlog, which another shard may not have, [backlogMillis] is its length.
     */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val reason: String,
        val retryAfterMillis: Long,
        val backlogMillis: Long? = null,
    ) : KeepOutcome

    /** The job may be stored now or later. */
    @Serializable
    @SerialName("unsure")
    data class Unsure(
        val reason: String,
    ) : KeepOutcome
}
