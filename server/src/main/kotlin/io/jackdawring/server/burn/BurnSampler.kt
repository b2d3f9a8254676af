package io.jackdawring.server.burn

import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Samples [source] every [BurnHistory.FINE_INTERVAL_MILLIS]; thread-safe. */
internal class BurnSampler(
    source: BurnSource,
    private val nowMillis: () -> Long,
) {
    private val history = BurnHistory(source)

    fun start(executor: ScheduledExecutorService) {
        // With a fixed rate, a late sample would make the next one come too early, and the history would drop it.
        executor.scheduleWithFixedDelay(
            ::sample,
            0,
            BurnHistory.FINE_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Takes a sample; between two regular ones this only adds new kinds and drops removed ones. */
    @Synchronized
    fun sample() = history.sample(nowMillis())

    @Synchronized
    fun report(): BurnReport = history.report(nowMillis())
}
