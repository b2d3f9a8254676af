package io.jackdawring.core.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Names one version of the configuration; [documents] maps each team to the content hash of its document.
 *
 * [recent] lists the publications before this one, oldest first, so that a publisher whose reply was lost finds its own
 * even if others have published since.
 */
@Serializable
data class ConfigurationHead(
    val version: Long,
    val publishId: String,
    val publisher: String,
    val documents: Map<String, String>,
    val recent: List<PublishedVersion> = emptyList(),
) {
    /** This version and the recent ones, oldest first. */
    val published: List<PublishedVersion> get() = recent + PublishedVersion(version, publishId, publisher)

    companion object {
        /** Enough for the publications by others until a lost reply is resolved by reading back; about 3 KB of JSON. */
        const val MAX_RECENT = 32
    }
}

/** One publication that took effect. */
@Serializable
data class PublishedVersion(
    @SerialName("v")
    val version: Long,
    @SerialName("id")
    val publishId: String,
    @SerialName("by")
    val publisher: String,
)

/** All services of one team; stored under the hash of its canonical JSON text. */
@Serializable
data class TeamDocument(
    val team: String,
    val services: List<ServiceDefinition>,
)
