package io.jackdawring.core.configuration

import kotlinx.serialization.Serializable

/** Names one version of the configuration; [documents] maps each team to the content hash of its document. */
@Serializable
data class ConfigurationHead(
    val version: Long,
    val publishId: String,
    val publisher: String,
    val documents: Map<String, String>,
)

/** All services of one team; stored under the hash of its canonical JSON text. */
@Serializable
data class TeamDocument(
    val team: String,
    val services: List<ServiceDefinition>,
)
