package io.jackdawring.core.configuration

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap

/** One version of the configuration with all services; version 0 is empty, as nothing has been published. */
class Configuration(
    val version: Long,
    val services: ImmutableMap<String, ServiceDefinition>,
) {
    /** Kind [kind] of service [service], or null if there is none. */
    fun kind(
        service: String,
        kind: String,
    ): KindDefinition? = services[service]?.kinds?.firstOrNull { it.name == kind }

    companion object {
        val EMPTY = Configuration(0, persistentMapOf())

        /** Configuration [version] with the services of all [documents]. */
        fun of(
            version: Long,
            documents: Collection<TeamDocument>,
        ): Configuration =
            Configuration(
                version,
                documents.flatMap { it.services }.associateBy { it.service }.toImmutableMap(),
            )
    }
}
