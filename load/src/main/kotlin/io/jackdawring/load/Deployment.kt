package io.jackdawring.load

import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.ServiceDefinition
import io.jackdawring.core.configuration.TeamDocument

/** A deployment that scenarios simulate; [kinds] has its classes, the highest priority first. */
enum class Deployment(
    val team: String,
    val service: String,
    val kinds: List<String>,
    val failureDomains: Int,
    val entriesPerDomain: Int,
    val callerOneWayMillis: Long,
) {
    STILLWATER(
        team = "stillwater",
        service = "orders",
        kinds = listOf("allergen-check", "menu-confirmation", "seating-update"),
        failureDomains = 3,
        entriesPerDomain = 3,
        callerOneWayMillis = 3,
    ),
    CARONI(
        team = "caroni",
        service = "checks",
        kinds = listOf("fault-confirmation", "heater-status-probe", "rail-temperature-audit"),
        failureDomains = 4,
        entriesPerDomain = 2,
        callerOneWayMillis = 1,
    ),
    ;

    /** Shares of [kinds] in the load. */
    val classes: List<LoadClass> get() = kinds.zip(CLASS_SHARES, ::LoadClass)

    /** Configuration of the deployment's only team. */
    val document: TeamDocument
        get() =
            TeamDocument(
                team,
                listOf(
                    ServiceDefinition(
                        service = service,
                        team = team,
                        kinds = kinds.mapIndexed { index, kind -> KindDefinition(kind, priority = index + 1) },
                    ),
                ),
            )

    companion object {
        const val TARGETS = 30
        const val SLOTS = 8
        const val CONNECTIONS = 60
        const val DOMAIN_ONE_WAY_MILLIS = 1L
        private const val MIN_SPEED = 0.6
        private const val MAX_SPEED = 1.6

        /** The class of the highest priority has the smallest share, as in both deployments. */
        private val CLASS_SHARES = listOf(0.2, 0.3, 0.5)

        /**
         * Speed of target [index]; the speeds are evenly spread.
         *
         * Neighbouring indexes are in different failure domains, so the order is shuffled with a step that is coprime
         * to the number of targets; otherwise one domain would have faster targets than the next.
         */
        fun speed(index: Int): Double {
            val rank = index * SPEED_STEP % TARGETS
            return MIN_SPEED + (MAX_SPEED - MIN_SPEED) * rank / (TARGETS - 1)
        }

        /** Tasks per second that all targets can run together, with nominal run times from [runTimes]. */
        fun capacityTasksPerSecond(runTimes: RunTimes): Double =
            (0 until TARGETS).sumOf { SLOTS * speed(it) } * MILLIS_PER_SECOND / runTimes.meanMillis()

        private const val SPEED_STEP = 7
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
