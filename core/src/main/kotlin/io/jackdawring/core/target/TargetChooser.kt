package io.jackdawring.core.target

import io.jackdawring.core.TargetPolicy
import kotlin.random.Random

/** Chooses among the usable targets of a service; probes of isolated targets are not its concern. */
internal fun interface TargetChooser {
    fun choose(
        service: ServiceTargets,
        need: TaskNeed,
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
            TargetChooser { service, need, nowMillis ->
                service.usable(need).filter { it.inFlight < it.fairShare }.minByOrNull { it.cost(need, nowMillis) }
            }
        TargetPolicy.Random -> TargetChooser { service, need, _ -> service.usable(need).randomOrNull(random) }
        TargetPolicy.RoundRobin -> {
            var turn = 0
            TargetChooser { service, need, _ ->
                val usable = service.usable(need)
                if (usable.isEmpty()) null else usable[turn++ % usable.size]
            }
        }
        TargetPolicy.LeastInFlight ->
            TargetChooser { service, need, _ -> service.usable(need).minByOrNull { it.inFlight } }
    }

private fun ServiceTargets.usable(need: TaskNeed): List<PooledTarget> =
    accepting.filter { it.health == Health.USABLE && it.inFlight < it.maxInFlight && it.fits(need) }

internal fun PooledTarget.cost(
    need: TaskNeed,
    nowMillis: Long,
): Double = need.expectedMillis * slowness(nowMillis) + distanceMillis
