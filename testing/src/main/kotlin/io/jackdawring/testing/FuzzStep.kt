package io.jackdawring.testing

import kotlin.random.Random

/** One step of a fuzzed schedule; [first] and [second] select participants modulo their current number. */
data class FuzzStep(
    val action: FuzzAction,
    val first: Int,
    val second: Int,
    val millis: Long,
)

/** Action of a [FuzzStep]; [weight] is its relative frequency. */
enum class FuzzAction(
    val weight: Int,
) {
    OPEN_SESSION(6),
    SUBMIT_IN_SESSION(20),
    SUBMIT_WITH_KEY(8),
    RESUBMIT(16),
    RESUBMIT_OTHER_BODY(1),
    SUBMIT_BURST(2),
    CANCEL(2),
    CANCEL_BURST(1),
    ADVANCE(30),
    PUBLISH(3),
    KILL(1),
    PAUSE(2),
    RESUME(3),
    DRAIN(1),
    REPLACE(3),
    PARTITION_DOMAINS(2),
    PARTITION_PLATFORM(1),
    HEAL(2),
    STORE_DOWN(1),
    STORE_LOSES_REPLIES(1),
    STORE_SLOW(1),
    STORE_UP(2),
    TARGET_LEAVES(1),
    TARGET_CRASHES(1),
    TARGET_FAILS_EVERYTHING(1),
    TARGET_STRAGGLES(1),
    TARGET_RESTARTS(3),
}

/** A random schedule of [count] steps, with actions chosen by weight. */
fun randomSteps(
    random: Random,
    count: Int,
): List<FuzzStep> =
    List(count) {
        FuzzStep(weighted.random(random), nextIndex(random), nextIndex(random), nextMillis(random))
    }

private val weighted = FuzzAction.entries.flatMap { action -> List(action.weight) { action } }

private fun nextIndex(random: Random) = random.nextInt(MAX_INDEX)

private fun nextMillis(random: Random) = random.nextLong(1, MAX_ADVANCE_MILLIS)

private const val MAX_INDEX = 1_000
private const val MAX_ADVANCE_MILLIS = 2_000L
