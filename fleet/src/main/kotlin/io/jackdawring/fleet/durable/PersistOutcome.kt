package io.jackdawring.fleet.durable

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Result of a request to a holder to store a durable job. */
@Serializable
internal sealed interface PersistOutcome {
    /** The job is stored, now or by an earlier request. */
    @Serializable
    @SerialName("kept")
    data object Persisted : PersistOutcome

    /**
     * The job is not stored and will not be; the caller may retry after [retryAfterMillis].
     *
     * [backlogMillis] is the length of the backlog if that is the reason; other shards may have none.
     */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val reason: String,
        val retryAfterMillis: Long,
        val backlogMillis: Long? = null,
    ) : PersistOutcome

    /** The job may have been stored, or may still be. */
    @Serializable
    @SerialName("unsure")
    data class Unknown(
        val reason: String,
    ) : PersistOutcome
}
