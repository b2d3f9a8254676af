package io.jackdawring.core.queue

import io.jackdawring.core.EntryOptions
import kotlin.math.ceil
import kotlin.math.min

/** Token bucket that is filled by a share of the first sends and, slowly, by time. */
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

        /** Lets a fresh instance survive one target that refuses all its slots. */
        const val INITIAL_RETRIES = 10.0

        /** Bounds the burst of retries after a quiet time. */
        const val MAX_RETRIES = 1_000.0

        /** One retry per second stays available when nothing is sent, so an empty budget cannot block for good. */
        const val REFILL_INTERVAL_MILLIS = 1_000.0
    }
}
