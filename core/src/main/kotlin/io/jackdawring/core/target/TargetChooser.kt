package io.jackdawring.core.target

import io.jackdawring.core.TargetPolicy
import kotlin.random.Random

/** Chooses among the usable targets of a service; [RealTargetPool] chooses targets to probe. */
internal fun interface TargetChooser {
    fun choose(
        service: ServiceTargets,
        requirements: TaskRequirements,
        nowMillis: Long,
    ): PooledTarget?
}

/** Returns the baseline chooser for [policy], or null for the adaptive one. */
internal fun baselineChooser(
    policy: TargetPolicy,
    random: Random,
): TargetChooser? =
    when (policy) {
        TargetPolicy.AdaptiveWindow -> null
        TargetPolicy.StaticShare ->
            TargetChooser { service, requirements, nowMillis ->
                service
                    .usable(requirements)
                    .filter { it.inFlight < it.fairShare }
                    .minByOrNull { it.cost(requirements, nowMillis) }
            }
        TargetPolicy.Random ->
            TargetChooser { service, requirements, _ -> service.usable(requirements).randomOrNull(random) }
        TargetPolicy.RoundRobin -> {
            var turn = 0
            TargetChooser { service, requirements, _ ->
                val usable = service.usable(requirements)
                if (usable.isEmpty()) null else usable[turn++ % usable.size]
            }
        }
        TargetPolicy.LeastInFlight ->
            TargetChooser { service, requirements, _ -> service.usable(requirements).minByOrNull { it.inFlight } }
    }

private fun ServiceTargets.usable(requirements: TaskRequirements): List<PooledTarget> =
    accepting.filter { it.health == Health.USABLE && it.inFlight < it.maxInFlight && it.fits(requirements) }

internal fun PooledTarget.cost(
    requirements: TaskRequirements,
    nowMillis: Long,
): Double = requirements.expectedMillis * slowness(nowMillis) + roundTripMillis
