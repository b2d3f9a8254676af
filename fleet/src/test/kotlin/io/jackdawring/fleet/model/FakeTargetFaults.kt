package io.jackdawring.fleet.model

import io.jackdawring.testing.VirtualClock

/** Faults of the requests to targets. */
internal class FakeTargetFaults(
    private val clock: VirtualClock,
) {
    private val silentUntilMillis = HashMap<String, Long>()
    private val answersLostUntilMillis = HashMap<String, Long>()

    /** Delay after which a request that was sent to a silent target is carried out, or null if it never is. */
    var lateMillis: () -> Long? = { null }

    /** Lets [target] answer no request for [millis]. */
    fun silence(
        target: String,
        millis: Long,
    ) {
        silentUntilMillis.merge(target, clock.nowMillis + millis, ::maxOf)
    }

    /** Loses the answers of [target] for [millis]; it carries its requests out. */
    fun loseAnswers(
        target: String,
        millis: Long,
    ) {
        answersLostUntilMillis.merge(target, clock.nowMillis + millis, ::maxOf)
    }

    fun isSilent(target: String): Boolean = (silentUntilMillis[target] ?: 0) > clock.nowMillis

    fun losesAnswer(target: String): Boolean = (answersLostUntilMillis[target] ?: 0) > clock.nowMillis

    /** Performs a request to the silent [target] late or never. */
    fun delay(
        target: String,
        perform: () -> Unit,
    ) {
        val millis = lateMillis() ?: return
        clock.schedule(millis) { if (isSilent(target)) delay(target, perform) else perform() }
    }
}
