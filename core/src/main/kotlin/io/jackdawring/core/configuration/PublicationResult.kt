package io.jackdawring.core.configuration

import io.jackdawring.core.StoreCall

/** Result of a [Publication]. */
sealed interface PublicationResult {
    /** The publication is in the store as [version]. */
    data class Committed(
        val version: Long,
    ) : PublicationResult

    /** Another [publisher] published [version] first; nothing of this publication is or will be in force. */
    data class Conflict(
        val publisher: String,
        val version: Long,
    ) : PublicationResult

    /** Nothing of this publication is or will be in force. */
    data class NotCommitted(
        val reason: String,
    ) : PublicationResult

    /** The reply to the swap of the head was lost and could not be resolved: the publication may be in force. */
    data object Undecided : PublicationResult
}

/** What the driver of a [Publication] must do next. */
sealed interface PublicationStep {
    /** Wait for [delayMillis], then make [call] and pass its answer to [Publication.onAnswered]. */
    data class Call(
        val call: StoreCall,
        val delayMillis: Long,
    ) : PublicationStep

    /** Nothing: the publication ended with [result]. */
    data class Finished(
        val result: PublicationResult,
    ) : PublicationStep
}

/** What a publication changes, as sorted service names. */
data class PublicationDiff(
    val added: List<String>,
    val changed: List<String>,
    val removed: List<String>,
) {
    companion object {
        /** Difference between the services [before] and [after]. */
        fun of(
            before: Collection<ServiceDefinition>,
            after: Collection<ServiceDefinition>,
        ): PublicationDiff {
            val old = before.associateBy { it.service }
            val new = after.associateBy { it.service }
            return PublicationDiff(
                added = (new.keys - old.keys).sorted(),
                changed = new.keys.filter { it in old && old[it] != new[it] }.sorted(),
                removed = (old.keys - new.keys).sorted(),
            )
        }
    }
}
