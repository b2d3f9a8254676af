package io.jackdawring.load

import io.jackdawring.core.TargetPolicy

/** Immutable settings of a comparison of scenarios. */
class ScenarioOptions private constructor(
    val deployments: List<Deployment>,
    val scenarios: List<Scenario>,
    val policies: List<TargetPolicy>,
    val durationMillis: Long,
    val jvmWarmUpMillis: Long,
    val seed: Long,
) {
    /** Builds [ScenarioOptions]; by default everything runs. */
    class Builder {
        var deployments: List<Deployment> = Deployment.entries
        var scenarios: List<Scenario> = Scenario.entries
        var policies: List<TargetPolicy> =
            listOf(
                TargetPolicy.AdaptiveWindow,
                TargetPolicy.StaticShare,
                TargetPolicy.Random,
                TargetPolicy.RoundRobin,
                TargetPolicy.LeastInFlight,
            )

        /** Time for which each combination of deployment, scenario and policy sends jobs; its first fifth is warm-up. */
        var durationMillis: Long = 10_000

        /** Duration of an unreported run at the start, so that no row measures interpreted code; 0 for none. */
        var jvmWarmUpMillis: Long = 3_000
        var seed: Long = 1

        fun build(): ScenarioOptions =
            ScenarioOptions(
                deployments = deployments.toList(),
                scenarios = scenarios.toList(),
                policies = policies.toList(),
                durationMillis = durationMillis,
                jvmWarmUpMillis = jvmWarmUpMillis,
                seed = seed,
            )
    }
}

/** Builds [ScenarioOptions] from [block]. */
fun scenarioOptions(block: ScenarioOptions.Builder.() -> Unit = {}): ScenarioOptions =
    ScenarioOptions.Builder().apply(block).build()
