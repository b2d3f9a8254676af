package io.jackdawring.testing

import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.configuration.ConfigurationCodec
import io.jackdawring.core.configuration.ConfigurationHead
import io.jackdawring.core.configuration.TeamDocument
import kotlin.random.Random

/** Connection of the entry instances to the store, with delays, outages, and replies lost after the write. */
class FakeStoreConnection(
    private val clock: VirtualClock,
    private val random: Random,
) {
    val store = FakeStore()

    var down: Boolean = false

    /** Percentage of answers that are lost. */
    var loseReplyPercent: Int = 0

    /** Additional delay of every call and of every answer. */
    var extraDelayMillis: Long = 0

    /** Number of calls that reached the store. */
    var calls: Int = 0
        private set

    /** The published head of the configuration, or null if there is none. */
    fun head(): ConfigurationHead? = store.value(ConfigurationCodec.HEAD_KEY)?.let(ConfigurationCodec::decodeHead)

    /** Calls the store and invokes [onAnswer] exactly once, with the answer or with [StoreAnswer.Unavailable]. */
    fun call(
        call: StoreCall,
        isReachable: () -> Boolean,
        onAnswer: (StoreAnswer) -> Unit,
    ) {
        if (down || !isReachable()) {
            clock.schedule(REFUSED_MILLIS) { onAnswer(StoreAnswer.Unavailable(mayHaveApplied = false)) }
            return
        }
        clock.schedule(delayMillis()) {
            if (down) {
                clock.schedule(TIMEOUT_MILLIS) { onAnswer(StoreAnswer.Unavailable(mayHaveApplied = true)) }
            } else {
                calls++
                apply(call, isReachable, onAnswer)
            }
        }
    }

    /** Writes the configuration of [TestConfiguration] as version 1. */
    fun publishTestConfiguration() {
        val document =
            ConfigurationCodec.encode(
                TeamDocument(TestConfiguration.TEAM, listOf(TestConfiguration.service)),
            )
        val hash = ConfigurationCodec.hash(document)
        val head = ConfigurationHead(1, "publish-1", "operator", mapOf(TestConfiguration.TEAM to hash))
        write(ConfigurationCodec.documentKey(hash), document)
        write(ConfigurationCodec.HEAD_KEY, ConfigurationCodec.encode(head))
    }

    private fun write(
        key: String,
        value: String,
    ) = store.call(StoreCall.CompareAndSwap(key, value, expectedRevision = 0, leaseMillis = null), clock.nowMillis)

    private fun apply(
        call: StoreCall,
        isReachable: () -> Boolean,
        onAnswer: (StoreAnswer) -> Unit,
    ) = when (call) {
        is StoreCall.Watch -> watch(call, clock.nowMillis + call.waitMillis, isReachable, onAnswer)
        is StoreCall.Get, is StoreCall.CompareAndSwap -> reply(store.call(call, clock.nowMillis), isReachable, onAnswer)
    }

    private fun watch(
        call: StoreCall.Watch,
        untilMillis: Long,
        isReachable: () -> Boolean,
        onAnswer: (StoreAnswer) -> Unit,
    ) {
        val answer = store.call(StoreCall.Get(call.key), clock.nowMillis)
        val changed = answer is StoreAnswer.Found && answer.revision > call.afterRevision
        if (changed || clock.nowMillis >= untilMillis || down) {
            reply(answer, isReachable, onAnswer)
        } else {
            clock.schedule(WATCH_POLL_MILLIS) { watch(call, untilMillis, isReachable, onAnswer) }
        }
    }

    private fun reply(
        answer: StoreAnswer,
        isReachable: () -> Boolean,
        onAnswer: (StoreAnswer) -> Unit,
    ) {
        val lost = random.nextInt(PERCENT) < loseReplyPercent
        clock.schedule(if (lost) TIMEOUT_MILLIS else delayMillis()) {
            val arrives = !lost && !down && isReachable()
            onAnswer(if (arrives) answer else StoreAnswer.Unavailable(mayHaveApplied = true))
        }
    }

    private fun delayMillis() = random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS) + extraDelayMillis

    private companion object {
        const val MIN_DELAY_MILLIS = 1L
        const val MAX_DELAY_MILLIS = 6L
        const val REFUSED_MILLIS = 1L
        const val TIMEOUT_MILLIS = 1_000L
        const val WATCH_POLL_MILLIS = 20L
        const val PERCENT = 100
    }
}
