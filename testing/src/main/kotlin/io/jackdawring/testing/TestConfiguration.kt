package io.jackdawring.testing

import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.ServiceDefinition

/** Configuration with the one service that the fakes run. */
object TestConfiguration {
    const val SERVICE = "orders"
    const val TEAM = "stillwater"

    /** Kinds from the highest priority to the lowest. */
    val KINDS = listOf("allergen-check", "menu-confirmation", "seating-update")

    val service =
        ServiceDefinition(
            service = SERVICE,
            team = TEAM,
            kinds =
                KINDS.mapIndexed { index, name ->
                    KindDefinition(name, priority = index + 1, idempotent = index == 0, expectedMillis = 200)
                },
        )
}
