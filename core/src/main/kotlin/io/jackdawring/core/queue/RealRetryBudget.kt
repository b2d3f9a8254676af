package io.jackdawring.core.queue

import io.jackdawring.core.EntryOptions
import kotlin.math.ceil
import kotlin.math.min

/** Token bucket that is refilled by a percentage of the first sends and, slowly, by elapsed time. */
internal class RealRetryBudget(
    retryBudgetPercent: Int,
) : RetryBudget {
    private val retriesPerSend = retryBudgetPercent / 100.0
    private var balance = INITIAL_RETRIES
    private var refilledAtMillis: Long? = null

    override fun onFirstSend() {
        balance = min(MAX_RETRIES, balance + retriesPerSend)
    }

    override fun tryTake(nowMillis: Long): Boolean {
        refill(nowMillis)
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }

    override fun nextAvailableMillis(nowMillis: Long): Long {
        refill(nowMillis)
        if (balance >= 1.0) return nowMillis
        return nowMillis + ceil((1.0 - balance) * REFILL_INTERVAL_MILLIS).toLong()
    }

    private fun refill(nowMillis: Long) {
        val elapsedMillis = nowMillis - (refilledAtMillis ?: nowMillis)
        refilledAtMillis = nowMillis
        balance = min(MAX_RETRIES, balance + elapsedMillis / REFILL_INTERVAL_MILLIS)
    }

    companion object {
        val Factory = RetryBudget.Factory { options: EntryOptions -> RealRetryBudget(options.retryBudgetPercent) }

        /** Enough for a new instance to retry after one target has refused starts on all its slots. */
        const val INITIAL_RETRIES = 10.0

        /** Bounds the burst of retries after a period without retries. */
        const val MAX_RETRIES = 1_000.0

        /** One retry per second becomes available even without sends, so an empty budget never blocks permanently. */
        const val REFILL_INTERVAL_MILLIS = 1_000.0
    }
}
