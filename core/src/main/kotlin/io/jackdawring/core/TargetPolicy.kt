package io.jackdawring.core

/** How a target is chosen; all but [AdaptiveWindow] are baselines for measurements. */
sealed interface TargetPolicy {
    /** Lowest estimated cost among sampled targets whose adaptive window has room. */
    data object AdaptiveWindow : TargetPolicy

    /** Lowest estimated cost within a fixed share of each target's slots. */
    data object StaticShare : TargetPolicy

    /** Any target at random. */
    data object Random : TargetPolicy

    /** Targets in turn. */
    data object RoundRobin : TargetPolicy

    /** The target with the fewest tasks in flight from this instance. */
    data object LeastInFlight : TargetPolicy
}
