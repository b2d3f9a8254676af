package io.jackdawring.standins

import kotlinx.serialization.Serializable

/**
 * Behaviour of a [StandInTarget] that can be switched while it runs.
 *
 * A task takes its nominal run time divided by [speed]; [stragglerPercent] of the tasks take [stragglerFactor] times
 * as long. A frozen target accepts requests, but starts and ends no task until it is unfrozen.
 */
@Serializable
data class TargetModes(
    val leaving: Boolean = false,
    val failEverything: Boolean = false,
    val frozen: Boolean = false,
    val usageHeaders: Boolean = true,
    val speed: Double = 1.0,
    val stragglerPercent: Double = 0.0,
    val stragglerFactor: Double = 10.0,
)

/** Body of `POST /control`; absent fields stay unchanged. */
@Serializable
data class TargetModeChange(
    val leaving: Boolean? = null,
    val failEverything: Boolean? = null,
    val frozen: Boolean? = null,
    val usageHeaders: Boolean? = null,
    val speed: Double? = null,
    val stragglerPercent: Double? = null,
    val stragglerFactor: Double? = null,
) {
    /** [modes] with the present fields of this change. */
    fun applyTo(modes: TargetModes): TargetModes =
        TargetModes(
            leaving = leaving ?: modes.leaving,
            failEverything = failEverything ?: modes.failEverything,
            frozen = frozen ?: modes.frozen,
            usageHeaders = usageHeaders ?: modes.usageHeaders,
            speed = speed ?: modes.speed,
            stragglerPercent = stragglerPercent ?: modes.stragglerPercent,
            stragglerFactor = stragglerFactor ?: modes.stragglerFactor,
        )
}
